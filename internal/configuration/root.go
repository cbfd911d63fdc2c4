package configuration

import (
	"fmt"
	"time"
)

// Keys in the platform's store. Each key except KeyRoot is written only once.
const (
	KeyRoot       = "config/root"
	prefixHistory = "config/history/"
	prefixIndex   = "config/index/"
	prefixSegment = "config/segment/"
	prefixDelta   = "config/delta/"
	prefixPlan    = "config/plan/"
)

// Root identifies the accepted configuration. It is replaced by
// compare-and-swap after everything that it refers to is written.
type Root struct {
	Revision Revision `json:"revision"`
	PlanID   string   `json:"plan_id"`
	// Base and BasePlan are the revision and the plan that this one follows.
	Base     Revision  `json:"base"`
	BasePlan string    `json:"base_plan,omitempty"`
	Operator string    `json:"operator"`
	At       time.Time `json:"at"`
	// Summary describes the change in one line.
	Summary string `json:"summary,omitempty"`
	// Digest is the hash of the index.
	Digest string `json:"digest"`
}

// Ref refers to one segment of a configuration.
type Ref struct {
	Name string `json:"name"`
	Hash string `json:"hash"`
	// PlanID is the plan that wrote the segment; with Name it makes the key.
	PlanID string `json:"plan_id"`
}

// KeySegment returns the store key of a segment.
func KeySegment(r Ref) string { return prefixSegment + r.PlanID + "/" + r.Name }

// KeyIndex returns the store key of the list of segments after a plan.
func KeyIndex(planID string) string { return prefixIndex + planID }

// KeyDelta returns the store key of the changes of a plan.
func KeyDelta(planID string) string { return prefixDelta + planID }

// KeyHistory returns the store key of an earlier root.
func KeyHistory(rev Revision) string { return fmt.Sprintf("%s%012d", prefixHistory, rev) }

// KeyPlan returns the store key of one part of a plan that awaits confirmation.
func KeyPlan(planID string, part int) string { return fmt.Sprintf("%s%s/%d", prefixPlan, planID, part) }
