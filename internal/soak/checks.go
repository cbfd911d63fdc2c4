package soak

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/entry"
)

// checkSettled makes one more change and checks that it is in force everywhere
// in time.
func (s *soak) checkSettled(ctx context.Context) {
	if !s.change(ctx, 0, configuration.Edit{Limits: []configuration.WorkspaceLimit{
		{Workspace: "harbour", TokensPerSecond: 1_500_000},
	}}) {
		s.violate("no change was accepted after the last fault")
	}
	start := time.Now()
	for {
		behind := s.behind(ctx)
		took := s.engineTime(time.Since(start))
		switch {
		case ctx.Err() != nil:
			return
		case len(behind) == 0 && took > settleTime:
			s.late("revision %d was in force everywhere after %v", s.report.Revision, took)
			return
		case len(behind) == 0:
			return
		case took > settleBound:
			s.violate("behind revision %d after %v: %v", s.report.Revision, took, behind)
			return
		}
		s.sleep(ctx, time.Second/4)
	}
}

// behind lists the entry instances that are not at the last revision.
func (s *soak) behind(ctx context.Context) []string {
	var out []string
	for i := range s.d.Instances {
		st, err := s.operate(ctx, i, entry.OperatorCommand{Status: true})
		if err != nil || st.Status == nil {
			out = append(out, fmt.Sprintf("entry-%d: no status: %v", i, err))
			continue
		}
		if st.Status.Revision != s.report.Revision {
			out = append(out, fmt.Sprintf("entry-%d: %d", i, st.Status.Revision))
		}
	}
	return out
}

// checkMemory asks every engine for memory that is in use or held.
func (s *soak) checkMemory(ctx context.Context) {
	deadline := time.Now().Add(s.wall(memoryTime))
	for {
		var held []string
		for i, e := range s.d.Engines {
			if m := e.Memory(); m.UsedTokens+m.HeldTokens != 0 {
				held = append(held, fmt.Sprintf("engine-%02d: used %d held %d", i, m.UsedTokens, m.HeldTokens))
			}
		}
		if len(held) == 0 {
			return
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			s.violate("memory not given back after %v: %v", memoryTime, held)
			return
		}
		s.sleep(ctx, time.Second/4)
	}
}

// checkLedger compares what callers were told with what the booking service
// really ran.
func (s *soak) checkLedger() {
	runs := s.d.Ledger.All()
	names := make([]string, 0, len(s.ledger))
	for name := range s.ledger {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		id, n := s.ledger[name], runs[name]
		switch {
		case n > 1:
			s.violate("%s ran %d times", name, n)
		case n == 0 && id.confirmed:
			s.violate("%s was confirmed and never ran", name)
		case n == 1 && !id.confirmed && !id.uncertain:
			s.violate("%s ran though every arrival was refused as not run", name)
		}
	}
}
