package booking

import "time"

// evaluation is the result of checking a claim against the record of its key.
type evaluation int

const (
	evaluationAvailable evaluation = iota // no other claim holds the key; the claim may be written
	evaluationGranted                     // the record was written for this claim
	evaluationObsolete                    // this claim is already settled or released
	evaluationInFlight                    // a call may be running under another claim
	evaluationFinal                       // the verdict is final
)

// evaluateClaim checks a claim against the record of its key, which is nil if
// there is none, at the given time of the shard's clock. The verdict is empty
// for evaluationAvailable and evaluationObsolete.
func evaluateClaim(c *Claim, rec *Record, clock time.Duration) (evaluation, Verdict) {
	if rec == nil || rec.ExpiresAt <= clock {
		return evaluationAvailable, Verdict{}
	}
	if rec.Claim == c.ID {
		switch rec.State {
		case StateClaimed:
			return evaluationGranted, Verdict{Kind: VerdictGranted}
		case StateReleased:
			return evaluationObsolete, Verdict{}
		case StateDone, StateUnknown:
			return evaluationObsolete, Verdict{}
		}
	}
	if rec.State == StateReleased {
		return evaluationAvailable, Verdict{}
	}
	if rec.Fingerprint != c.Fingerprint {
		return evaluationFinal, Verdict{Kind: VerdictConflict}
	}
	switch rec.State {
	case StateDone:
		if rec.Answer != nil && !rec.Answer.Truncated {
			return evaluationFinal, Verdict{Kind: VerdictReplayed, Answer: rec.Answer}
		}
	case StateClaimed:
		if clock < rec.RunDeadline+clockSkewAllowance {
			return evaluationInFlight, Verdict{Kind: VerdictRunning}
		}
	case StateUnknown, StateReleased:
	}
	return evaluationFinal, Verdict{Kind: VerdictNotRepeated}
}

// applySettlement returns the record that results from a settlement; it returns
// false if the settlement changes nothing.
func applySettlement(st *Settlement, rec *Record, clock time.Duration) (Record, bool) {
	if rec != nil && rec.Claim == st.ID {
		if rec.State != StateClaimed {
			return Record{}, false
		}
		next := *rec
		next.State, next.Answer = st.State, st.Answer
		return next, true
	}
	if st.State != StateReleased || rec != nil && rec.State != StateReleased && rec.ExpiresAt > clock {
		return Record{}, false
	}
	// A write of the claim may still be in flight; this record makes it fail.
	return Record{Key: st.Key, Claim: st.ID, State: StateReleased, ExpiresAt: clock + releasedRetention}, true
}
