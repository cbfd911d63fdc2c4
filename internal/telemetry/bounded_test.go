package telemetry

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// blockedWriter blocks every Write until release is closed.
type blockedWriter struct {
	release chan struct{}
	out     bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return s.out.Write(p)
}

func TestBlockedWriterDoesNotBlockLogging(t *testing.T) {
	writer := &blockedWriter{release: make(chan struct{})}
	log := NewBoundedWriter(writer)
	begin := time.Now()
	for range 2 * maxWaitingLines {
		_, err := log.Write([]byte("msg=line\n"))
		must.NoError(t, err)
	}
	must.Less(t, time.Second, time.Since(begin))
	close(writer.release)
	time.Sleep(50 * time.Millisecond)
	_, _ = log.Write([]byte("msg=last\n"))
	log.Close()
	must.StrContains(t, writer.out.String(), "msg=log-lines-dropped")
	must.LessEq(t, maxBurstLines+maxLinesPerSecond+2, strings.Count(writer.out.String(), "\n"))
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	var out bytes.Buffer
	log := NewBoundedWriter(&out)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		_, err := log.Write([]byte(line))
		must.NoError(t, err)
	}
	log.Close()
	must.Eq(t, "a\nb\nc\n", out.String())
	_, err := log.Write([]byte("late\n"))
	must.NoError(t, err)
}
