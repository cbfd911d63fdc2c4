package entry

import (
	"slices"

	"github.com/medlardeck/medlardeck/internal/store"
	"github.com/medlardeck/medlardeck/internal/target"
)

// LeavingTargets are the targets that the platform's list shows as leaving, as
// read by a gateway.
type LeavingTargets struct {
	Names []string `json:"names"`
}

// listedTargets takes the targets of the platform's list. A gateway passes the
// leaving ones on, since it alone reads the list again and again; while there
// are none it says so only once.
func (e *Entry) listedTargets(list []store.Instance) {
	leaving := make(map[string]bool)
	for _, in := range list {
		if in.Leaving {
			leaving[in.Name], leaving[in.Address] = true, true
		}
	}
	var names []string
	e.targets.All(func(tg *target.Target) {
		if leaving[tg.Name] || leaving[tg.Address] {
			names = append(names, tg.Name)
		}
	})
	changed := !slices.Equal(names, e.leavingTargets)
	e.setLeaving(names)
	if e.members.IsGateway() && (changed || len(names) > 0) {
		e.broadcast(Message{Leaving: &LeavingTargets{Names: names}})
	}
}

// setLeaving stops new work to the named targets, and to no others on behalf of
// the list. Work in flight there goes on.
func (e *Entry) setLeaving(names []string) {
	e.leavingTargets = names
	e.targets.All(func(tg *target.Target) {
		listed := slices.Contains(names, tg.Name)
		if listed && !tg.Listed {
			e.emit(Log{Event: "target-leaving", Pairs: []string{"target", tg.Name, "by", "list"}})
		}
		tg.Listed = listed
	})
}
