// Package result defines a numbered code for every possible result of a request or an
// operator's command.
//
// The thousands digit is the family, so that "not run" can be recognized by the number
// alone: 1 complete, 2 refused and not run, 3 failed after running, 4 outcome unknown,
// 5 operators' commands. docs/RESULT-CODES.md contains the same table; a test checks
// that the two are equal.
package result

import (
	"fmt"
	"net/http"
	"slices"
)

// Family groups codes by what the caller may conclude from them.
type Family int

// Families, equal to the thousands digit of their codes.
const (
	FamilyComplete Family = 1
	FamilyRefused  Family = 2
	FamilyFailed   Family = 3
	FamilyUnknown  Family = 4
	FamilyOperator Family = 5
)

// String returns the name of the family in the documentation.
func (f Family) String() string {
	switch f {
	case FamilyComplete:
		return "complete"
	case FamilyRefused:
		return "refused"
	case FamilyFailed:
		return "failed"
	case FamilyUnknown:
		return "unknown"
	case FamilyOperator:
		return "operator"
	}
	return fmt.Sprintf("family-%d", int(f))
}

// Code is a numbered result.
type Code int

// Family returns the family that the code belongs to.
func (c Code) Family() Family { return Family(int(c) / 1000) }

// Info documents one code.
type Info struct {
	// Name is the stable identifier in logs, metrics and JSON errors.
	Name string
	// Status is the HTTP status sent to callers. Statuses on which old clients
	// resend a request (502, 503, 504) occur only in the refused family, where a
	// resend is safe.
	Status int
	// Meaning is one sentence for the documentation.
	Meaning string
}

// Info returns the documentation of the code; ok is false for unlisted codes.
func (c Code) Info() (info Info, ok bool) {
	info, ok = codeInfo[c]
	return info, ok
}

// String returns the stable name of the code.
func (c Code) String() string {
	if info, ok := codeInfo[c]; ok {
		return info.Name
	}
	return fmt.Sprintf("code-%d", int(c))
}

// Status returns the HTTP status for the code, 500 for unlisted codes.
func (c Code) Status() int {
	if info, ok := codeInfo[c]; ok {
		return info.Status
	}
	return http.StatusInternalServerError
}

// All returns every listed code in ascending order.
func All() []Code {
	codes := make([]Code, 0, len(codeInfo))
	for c := range codeInfo {
		codes = append(codes, c)
	}
	slices.Sort(codes)
	return codes
}
