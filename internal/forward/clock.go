package forward

import (
	"time"

	"golang.org/x/sys/unix"
)

// clock is a monotonic clock that keeps running while the machine is suspended,
// so that a deadline that passes during a suspension has expired after it.
type clock struct {
	startedAt       time.Time
	bootTimeAtStart time.Duration
	noBootClock     bool // the machine has no CLOCK_BOOTTIME
}

func newClock() *clock {
	c := &clock{startedAt: time.Now()}
	boot, err := bootTime()
	c.bootTimeAtStart, c.noBootClock = boot, err != nil
	return c
}

// bootTime returns the time since the machine booted, including suspensions.
func bootTime() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, err
	}
	return time.Duration(ts.Nano()), nil
}

// now returns the time since newClock was called.
func (c *clock) now() time.Duration {
	if !c.noBootClock {
		if boot, err := bootTime(); err == nil {
			return boot - c.bootTimeAtStart
		}
	}
	return time.Since(c.startedAt)
}
