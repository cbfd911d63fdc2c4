package configuration

import (
	"context"
	"fmt"
	"time"

	"github.com/medlardeck/medlardeck/internal/store"
)

// Seed makes an intent the first accepted configuration of an empty store.
func Seed(ctx context.Context, kv store.Store, in Intent, operator string, at time.Time) error {
	if faults := Validate(&in); len(faults) > 0 {
		return fmt.Errorf("seed the configuration: %w", faults)
	}
	empty := EmptySnapshot()
	plan, err := NewPlan(empty, in, func(string) int { return 0 })
	if err != nil {
		return fmt.Errorf("seed the configuration: %w", err)
	}
	confirm, err := NewConfirm(&plan, empty, 0, operator, at)
	if err != nil {
		return fmt.Errorf("seed the configuration: %w", err)
	}
	var reply store.Reply
	for {
		call, more := confirm.Next(reply)
		if !more {
			break
		}
		if call.Op == "" {
			return fmt.Errorf("seed the configuration: store answered %s", reply.Status)
		}
		reply = kv.Do(ctx, call)
	}
	if confirm.Verdict != VerdictAccepted {
		return fmt.Errorf("seed the configuration: %s", confirm.Verdict)
	}
	return nil
}
