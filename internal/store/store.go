package store

import "context"

// Store carries out calls. Its implementations are HTTP, the rate-limited
// Client around it, and in-memory fakes in tests.
type Store interface {
	// Do carries out one call within ctx. It returns no error: the outcome is
	// the reply's status. A watch returns when there are changes or when its
	// budget ends, the latter with StatusOK and no KVs.
	Do(ctx context.Context, call Call) Reply
}
