package node

import (
	"github.com/medlardeck/medlardeck/internal/entry"
	"github.com/medlardeck/medlardeck/internal/store"
)

// callStore carries out a call to the platform's store apart from n.mu and
// feeds its end back.
func (n *Node) callStore(eff entry.StoreCall) {
	n.spawn(func() {
		reply := store.Reply{Status: store.StatusUnsent}
		if n.opts.Store != nil {
			reply = n.opts.Store.Do(n.ctx, eff.Call)
		}
		n.Step(entry.StoreReply{ID: eff.ID, Reply: reply})
	})
}
