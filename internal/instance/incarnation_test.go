package instance

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Names that others remember are made of it: two starts at one reading of the clock had the
// same ones.
func TestIncarnationsOfOneMomentDiffer(t *testing.T) {
	start := time.Unix(1_700_000_000, 123)
	must.NotEq(t, incarnationAt(start, 1), incarnationAt(start, 2))
	must.Greater(t, incarnationAt(start, 1<<64-1), incarnationAt(start.Add(2*time.Millisecond), 0))
}
