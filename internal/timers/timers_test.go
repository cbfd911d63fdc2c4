package timers

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestTimersRunInOrderOfDueTime(t *testing.T) {
	var q Queue
	var ran []string
	q.Set(2*time.Second, func() { ran = append(ran, "c") })
	q.Set(time.Second, func() {
		ran = append(ran, "a")
		q.Set(time.Second, func() { ran = append(ran, "b") }) // due at once
	})
	dueAt, ok := q.Next()
	must.True(t, ok)
	must.Eq(t, time.Second, dueAt)
	q.Run(time.Second)
	must.Eq(t, []string{"a", "b"}, ran)
	q.Run(2 * time.Second)
	must.Eq(t, []string{"a", "b", "c"}, ran)
	_, ok = q.Next()
	must.False(t, ok)
}
