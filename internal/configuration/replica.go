package configuration

// Limits of the deltas that a replica retains for peers that are slightly behind.
const (
	maxRetainedDeltas     = 128
	maxRetainedDeltaBytes = 256 << 10 // over all retained deltas
)

// Judgement is the result of offering a configuration to a replica.
type Judgement string

// Judgements.
const (
	JudgementAdopted Judgement = "adopted"
	JudgementSame    Judgement = "same"
	// JudgementStale: older than the configuration in force; refused.
	JudgementStale Judgement = "stale"
	// JudgementConflict: the same revision from another plan; refused. It
	// occurs if the store was restored from older data and then written.
	JudgementConflict Judgement = "conflict"
)

// Judgements returns every judgement.
func Judgements() []Judgement {
	return []Judgement{JudgementAdopted, JudgementSame, JudgementStale, JudgementConflict}
}

// Replica holds the configuration in force at one instance. Its revision only
// increases.
type Replica struct {
	current    *Snapshot
	deltas     []Delta // contiguous, up to the current revision
	deltaBytes int
}

// NewReplica returns a replica without a configuration.
func NewReplica() *Replica { return &Replica{current: EmptySnapshot()} }

// Current returns the snapshot in force, or the empty one before the first is
// adopted.
func (r *Replica) Current() *Snapshot { return r.current }

// JudgeRoot returns what Offer would return for a configuration with this root.
func (r *Replica) JudgeRoot(root Root) Judgement {
	cur := r.current.Root
	switch {
	case root.Revision > cur.Revision:
		return JudgementAdopted
	case root.Revision < cur.Revision:
		return JudgementStale
	case root.PlanID != cur.PlanID:
		return JudgementConflict
	}
	return JudgementSame
}

// Offer puts a snapshot in force if its revision is newer than the current one.
func (r *Replica) Offer(next *Snapshot) Judgement {
	j := r.JudgeRoot(next.Root)
	if j != JudgementAdopted {
		return j
	}
	r.retainDelta(next)
	r.current = next
	return j
}

// retainDelta stores the delta from the current snapshot to next and drops the
// oldest deltas beyond the limits. It drops all deltas if next does not
// directly follow the current snapshot or its delta is too large.
func (r *Replica) retainDelta(next *Snapshot) {
	cur := r.current.Root
	changes, err := r.current.changesTo(next.segments)
	d := Delta{Root: next.Root, Changes: changes}
	if err != nil || cur.Revision == 0 || next.Root.Base != cur.Revision || next.Root.BasePlan != cur.PlanID || d.Size() > maxRetainedDeltaBytes {
		r.deltas, r.deltaBytes = nil, 0
		return
	}
	r.deltas = append(r.deltas, d)
	r.deltaBytes += d.Size()
	for len(r.deltas) > maxRetainedDeltas || r.deltaBytes > maxRetainedDeltaBytes {
		r.deltaBytes -= r.deltas[0].Size()
		r.deltas = r.deltas[1:]
	}
}

// DeltasSince returns the deltas from a revision of a plan to the current one; nil if
// they are not retained.
func (r *Replica) DeltasSince(rev Revision, planID string) []Delta {
	for i, d := range r.deltas {
		if d.Root.Base == rev && d.Root.BasePlan == planID {
			return r.deltas[i:]
		}
	}
	return nil
}
