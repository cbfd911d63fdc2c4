package load

import (
	"context"
	"fmt"
	"io"

	"github.com/medlardeck/medlardeck/internal/slopes"
)

// slopeTable is the result of the scenario slopes.
type slopeTable []slopes.Result

// WriteText implements Result.
func (t slopeTable) WriteText(w io.Writer) {
	if err := slopes.WriteTable(w, t); err != nil {
		fmt.Fprintln(w, err)
	}
}

// slopesScenario measures what docs/CAPACITY.md is worked out from.
func slopesScenario() Scenario {
	return Scenario{
		Name: "slopes", Summary: "how the cost of each role grows with its size, for the capacity page",
		Run: func(context.Context, Options) (Result, error) {
			res, err := slopes.MeasureAll(append(slopes.Decisions(), slopes.Wire()...))
			return slopeTable(res), err
		},
	}
}
