package routing

import (
	"time"

	"github.com/medlardeck/medlardeck/internal/request"
	"github.com/medlardeck/medlardeck/internal/target"
)

// maxBacklogTime limits the prefill work of the same or a higher priority that
// may be queued at a target, as time at the target's full prefill rate. Above it
// a request of the class waits in the entry instance. Longer classes need a
// larger backlog because other entry instances learn late that a target is free
// again.
var maxBacklogTime = [request.NumClasses]time.Duration{
	request.ClassShort:  500 * time.Millisecond,
	request.ClassMedium: 2 * time.Second,
	request.ClassLong:   5 * time.Second,
	request.ClassHuge:   10 * time.Second,
}

// longMemoryReserve is the share of a target's KV memory that long classes leave
// free for shorter ones.
const longMemoryReserve = 0.15

// hasCapacity reports whether the target could start the attempt now: its free KV
// memory holds the attempt, and the backlog ahead is within maxBacklogTime. Free
// memory is not checked while the target's capacity is unknown.
func (p *Predictive) hasCapacity(need *Requirements, tg *target.Target) bool {
	if free, ok := tg.FreeTokens(); ok {
		wanted := need.MemoryTokens()
		capacity := tg.Report.KVCapacityTokens
		if need.Class >= request.ClassLong {
			wanted = min(wanted+int(longMemoryReserve*float64(capacity)), capacity)
		}
		if wanted > free {
			return false
		}
	}
	ahead := p.table.PrefillTokensAhead(need.Now, tg, need.Class)
	return ahead <= p.table.PrefillRate(tg, request.ClassShort)*maxBacklogTime[need.Class].Seconds()
}
