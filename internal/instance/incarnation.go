package instance

import (
	"math/rand/v2"
	"time"
)

// incarnationRandomBits is the number of low bits of an incarnation that are random: of a
// time in nanoseconds, these are the last millisecond.
const incarnationRandomBits = 20

// NewIncarnation returns the incarnation of a process that starts now. It rises with the time
// of day, and differs from that of another start also if the clock stood still or was set back
// between the two.
func NewIncarnation() uint64 { return incarnationAt(time.Now(), rand.Uint64()) }

func incarnationAt(start time.Time, random uint64) uint64 {
	const randomMask = 1<<incarnationRandomBits - 1
	return uint64(start.UnixNano())&^randomMask | random&randomMask
}
