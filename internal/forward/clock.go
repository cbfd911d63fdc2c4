package forward

import (
	"time"

	"golang.org/x/sys/unix"
)

// clock is a monotonic clock that also counts the time in which the machine was
// suspended, so that deadlines set before a suspension are past after it.
type clock struct {
	start    time.Time
	boot     time.Duration
	bootless bool // the machine has no such clock
}

func newClock() *clock {
	c := &clock{start: time.Now()}
	boot, err := bootTime()
	c.boot, c.bootless = boot, err != nil
	return c
}

func bootTime() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, err
	}
	return time.Duration(ts.Nano()), nil
}

// now returns the time since the clock was made.
func (c *clock) now() time.Duration {
	if !c.bootless {
		if boot, err := bootTime(); err == nil {
			return boot - c.boot
		}
	}
	return time.Since(c.start)
}
