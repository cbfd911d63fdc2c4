package node

import (
	"github.com/medlardeck/medlardeck/internal/entry"
	"github.com/medlardeck/medlardeck/internal/store"
)

// callStore calls the platform's store in a goroutine, so that n.mu is not held
// during the call, and feeds the result back as a StoreReply. n.mu is held.
func (n *Node) callStore(eff entry.StoreCall) {
	n.spawn(func() {
		reply := store.Reply{Status: store.StatusUnsent}
		if n.opts.Store != nil {
			reply = n.opts.Store.Do(n.ctx, eff.Call)
		}
		n.Step(entry.StoreReply{ID: eff.ID, Reply: reply})
	})
}
