package store

import "context"

// Store carries out calls. Implementations: the HTTP adapter, the budgeted
// client around it, and memory fakes in tests.
type Store interface {
	// Do carries out one call within ctx. It never returns an error: what is
	// known is in the reply's status. A watch returns when there are changes
	// or when its budget ends, the latter with StatusOK and no KVs.
	Do(ctx context.Context, call Call) Reply
}
