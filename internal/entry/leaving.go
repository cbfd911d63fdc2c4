package entry

import (
	"slices"

	"github.com/medlardeck/medlardeck/internal/store"
	"github.com/medlardeck/medlardeck/internal/target"
)

// LeavingTargets are the targets that the platform's list shows as leaving, as a
// gateway read it.
type LeavingTargets struct {
	Names []string `json:"names"`
}

// updateLeavingTargets takes the leaving targets from the platform's list. A
// gateway broadcasts them, since it alone keeps reading the list: after every
// read while there are any, and once when there are none any more.
func (e *Entry) updateLeavingTargets(list []store.Instance) {
	leaving := make(map[string]bool)
	for _, in := range list {
		if in.Leaving {
			leaving[in.Name], leaving[in.Address] = true, true
		}
	}
	var names []string
	e.targets.ForEach(func(tg *target.Target) {
		if leaving[tg.Name] || leaving[tg.Address] {
			names = append(names, tg.Name)
		}
	})
	changed := !slices.Equal(names, e.leavingTargets)
	e.markLeavingTargets(names)
	if e.members.IsGateway() && (changed || len(names) > 0) {
		e.broadcast(Message{Leaving: &LeavingTargets{Names: names}})
	}
}

// markLeavingTargets stops sending new work to the named targets, and clears
// the mark of all others. Work in flight continues.
func (e *Entry) markLeavingTargets(names []string) {
	e.leavingTargets = names
	e.targets.ForEach(func(tg *target.Target) {
		listed := slices.Contains(names, tg.Name)
		if listed && !tg.ListedAsLeaving {
			e.emit(Log{Event: "target-leaving", Pairs: []string{"target", tg.Name, "by", "list"}})
		}
		tg.ListedAsLeaving = listed
	})
}
