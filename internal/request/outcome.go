// Package request tracks the lifecycle of one request: its attempts and its single
// outcome.
//
// A request is reported as "not run" only with a proof: either no byte of it can
// have reached a target, or every target that received it reported that it did not
// run it.
package request

import (
	"time"

	"github.com/medlardeck/medlardeck/internal/result"
)

// NotRunProof proves that a request did not run. Only a Lifecycle can create a valid one;
// the zero value is invalid.
type NotRunProof struct{ valid bool }

// Outcome is the final result of a request. Its fields are private so that a refusal
// cannot be created without a proof.
type Outcome struct {
	code       result.Code
	retryAfter time.Duration
}

// Refuse returns the outcome of a request that did not run. If the proof is invalid
// or the code belongs to another family, the outcome is BrokenAfterSend, because
// "not run" is never reported without evidence. A retryAfter of zero sends no hint to
// the caller.
func Refuse(proof NotRunProof, code result.Code, retryAfter time.Duration) Outcome {
	if !proof.valid || code.Family() != result.FamilyRefused {
		return Outcome{code: result.BrokenAfterSend}
	}
	return Outcome{code: code, retryAfter: retryAfter}
}

// Succeed returns the outcome of a request whose complete answer was delivered.
func Succeed() Outcome { return Outcome{code: result.Complete} }

// Replay returns the outcome of a request that was answered with the recorded answer
// of an earlier run.
func Replay() Outcome { return Outcome{code: result.Replayed} }

// Fail returns the outcome of a request that ran and failed. Codes of other families
// become TargetError.
func Fail(code result.Code) Outcome {
	if code.Family() != result.FamilyFailed {
		code = result.TargetError
	}
	return Outcome{code: code}
}

// Unknown returns the outcome of a request that may have run. Codes of other families
// become BrokenAfterSend.
func Unknown(code result.Code) Outcome {
	if code.Family() != result.FamilyUnknown {
		code = result.BrokenAfterSend
	}
	return Outcome{code: code}
}

// Code returns the numbered result.
func (o Outcome) Code() result.Code { return o.code }

// RetryAfter returns the delay to suggest to the caller before a resend, or zero for
// no hint.
func (o Outcome) RetryAfter() time.Duration { return o.retryAfter }
