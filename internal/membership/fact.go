// Package membership tracks which entry instances are alive, from the
// platform's instance list, which lags, from heartbeats between peers and from
// facts that peers relay. It does no I/O; the caller passes the current time.
//
// Each instance sends heartbeats to a few neighbours on a ring of hashed names
// instead of to all instances, so that the cost per instance does not grow with
// the fleet. An instance to which a heartbeat can't be delivered becomes
// suspect; a suspect without a newer heartbeat within SuspicionTimeout is
// considered dead.
package membership

// State is the liveness of an instance as far as it is known.
type State int

// States of an instance. The order matters: of two facts with the same
// heartbeat counter, the one with the higher state wins.
const (
	Alive State = iota
	Suspect
	Dead
)

// String returns the lower-case name of the state.
func (s State) String() string {
	return [...]string{"alive", "suspect", "dead"}[s]
}

// Fact is a report about an instance, by itself or by another one.
type Fact struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain"`
	Address       string `json:"address"`
	// Incarnation increases with each start of an instance of this name, at the
	// latest when the new process hears of the former one; zero means that the
	// instance is known from the platform's list only.
	Incarnation uint64 `json:"incarnation"`
	// Beat counts the heartbeats of this incarnation.
	Beat    uint64 `json:"beat"`
	State   State  `json:"state,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
	// Revision is the configuration revision that the instance last reported to
	// be in force.
	Revision int64 `json:"revision,omitempty"`
}

// supersedes reports whether f is newer than old: by incarnation, then heartbeat
// counter, then state.
func (f Fact) supersedes(old Fact) bool {
	if f.Incarnation != old.Incarnation {
		return f.Incarnation > old.Incarnation
	}
	if f.Beat != old.Beat {
		return f.Beat > old.Beat
	}
	return f.State > old.State
}
