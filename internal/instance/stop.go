package instance

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"time"
)

// lastAnswersTime is the part of a stop's time that is kept for answers that are being
// written when the rest of it is over.
const lastAnswersTime = time.Second

// Stop performs a planned stop: the instance reports that it is not ready, takes
// new work only until the stop lag has passed, and lets the requests in flight
// complete before it closes. If ctx ends first, the remaining requests end with an
// answer that says so, and Stop returns the error of ctx. It keeps the last part of
// the time until the deadline of ctx for these answers; after a cancellation of ctx it
// takes lastAnswersTime for them.
func (i *Instance) Stop(ctx context.Context) error {
	end, cancel := withLastAnswersTime(ctx)
	defer cancel()
	i.Node.Stop(timeLeft(ctx))
	select {
	case <-i.Node.Stopped():
		i.waitStopLag(end)
	case <-end.Done():
		i.Node.EndStop()
	}
	err := i.drainServers(end)
	if err != nil {
		i.Node.EndStop()
		last, cancelLast := context.WithTimeout(context.WithoutCancel(ctx), lastAnswersTime)
		defer cancelLast()
		err = i.drainServers(last) // Close cuts what is open after that
	}
	i.Close()
	if err != nil || i.Node.StopExpired() {
		return fmt.Errorf("stop: %w", cmp.Or(end.Err(), context.DeadlineExceeded))
	}
	return nil
}

// timeLeft returns the time until the deadline of ctx, zero if there is none or it is
// over.
func timeLeft(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(0, time.Until(deadline))
}

// withLastAnswersTime returns a context that ends lastAnswersTime before the deadline of
// ctx, or after three quarters of the time until then if that is later.
func withLastAnswersTime(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	const lastPart = 4
	return context.WithDeadline(ctx, deadline.Add(-min(lastAnswersTime, timeLeft(ctx)/lastPart)))
}

// drainServers closes the listeners and then each connection of callers and operators
// when its request has been answered.
func (i *Instance) drainServers(ctx context.Context) error {
	operators := make(chan error, 1)
	go func() { operators <- i.operators.drain(ctx) }()
	err := i.callers.drain(ctx)
	return errors.Join(err, <-operators)
}

// waitStopLag keeps the servers open for the stop lag or until ctx ends.
// Responses that began before the stop did not announce that their connection
// will close, so callers may send another request on it. Such a request must get
// a refusal instead of a closed connection.
func (i *Instance) waitStopLag(ctx context.Context) {
	timer := time.NewTimer(i.stopLag)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
