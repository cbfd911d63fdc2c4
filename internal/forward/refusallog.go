package forward

import (
	"sync/atomic"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"
)

// Limits of the log lines on requests that are refused before any target was chosen. A crowd
// that is refused thousands of times a second would fill the log, which is bounded as a whole,
// and keep other lines out. The counters have every refusal.
const (
	maxRefusalLinesPerSecond = 50
	maxRefusalBurstLines     = 500
)

// refusalLog writes log lines on refusals, up to a rate. Lines left out are counted in the
// next one.
type refusalLog struct {
	log     logr.Logger
	limiter *rate.Limiter
	omitted atomic.Int64
}

func newRefusalLog(log logr.Logger) *refusalLog {
	return &refusalLog{log: log, limiter: rate.NewLimiter(maxRefusalLinesPerSecond, maxRefusalBurstLines)}
}

// info writes a line, if the rate allows it.
func (l *refusalLog) info(event string, pairs ...any) {
	if !l.limiter.Allow() {
		l.omitted.Add(1)
		return
	}
	if omitted := l.omitted.Swap(0); omitted > 0 {
		pairs = append(pairs, "lines_omitted", omitted)
	}
	l.log.Info(event, pairs...)
}
