package telemetry

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// stuck is a reader of the log that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	out     bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	return s.out.Write(p)
}

func TestSlowReaderOfTheLogBlocksNobody(t *testing.T) {
	reader := &stuck{release: make(chan struct{})}
	log := NewBounded(reader)
	begin := time.Now()
	for range 2 * waitingLines {
		_, err := log.Write([]byte("msg=line\n"))
		must.NoError(t, err)
	}
	must.Less(t, time.Second, time.Since(begin))
	close(reader.release)
	time.Sleep(50 * time.Millisecond)
	_, _ = log.Write([]byte("msg=last\n"))
	log.Close()
	must.StrContains(t, reader.out.String(), "msg=log-lines-dropped")
	must.LessEq(t, burstLines+linesPerSecond+2, strings.Count(reader.out.String(), "\n"))
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	var out bytes.Buffer
	log := NewBounded(&out)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		_, err := log.Write([]byte(line))
		must.NoError(t, err)
	}
	log.Close()
	must.Eq(t, "a\nb\nc\n", out.String())
	_, err := log.Write([]byte("late\n"))
	must.NoError(t, err)
}
