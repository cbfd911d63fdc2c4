package engineclient_test

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/engineclient"
	"github.com/medlardeck/medlardeck/internal/entry"
	"github.com/medlardeck/medlardeck/internal/order"
	"github.com/medlardeck/medlardeck/internal/standin/engine"
)

func TestOrderStatusByResponse(t *testing.T) {
	eng, err := engine.Start("127.0.0.1:0", engine.Options{Models: []string{"draft"}, Fencing: true, OrderToken: "secret", Speed: 1000})
	must.NoError(t, err)
	defer eng.Close()
	client := engineclient.New(time.Second)
	defer client.Close()
	models := []order.Model{{Name: "draft", Version: "1"}}
	for _, tc := range []struct {
		name   string
		call   entry.OrderCall
		token  string
		status entry.OrderStatus
		fence  uint64
	}{
		{"read", entry.OrderCall{Read: true}, "", entry.OrderOK, 0},
		{"wrong token", entry.OrderCall{Models: models, Fence: 2, Authenticated: true}, "guess", entry.OrderDenied, 0},
		{"no token sent", entry.OrderCall{Models: models, Fence: 2}, "secret", entry.OrderDenied, 0},
		{"given", entry.OrderCall{Models: models, Fence: 2, Authenticated: true}, "secret", entry.OrderOK, 2},
		{"again", entry.OrderCall{Models: models, Fence: 2, Authenticated: true}, "secret", entry.OrderOK, 2},
		{"stale fence", entry.OrderCall{Models: models, Fence: 1, Authenticated: true}, "secret", entry.OrderStale, 2},
		{"connection refused", entry.OrderCall{Read: true, Address: "127.0.0.1:1"}, "", entry.OrderUnreached, 0},
	} {
		if tc.call.Address == "" {
			tc.call.Address = eng.Addr()
		}
		status, state := client.Order(context.Background(), tc.call, tc.token)
		must.Eq(t, tc.status, status, must.Sprint(tc.name))
		must.Eq(t, tc.fence, state.Fence, must.Sprint(tc.name))
		if status == entry.OrderOK {
			must.Eq(t, models, state.Models, must.Sprint(tc.name))
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	eng.Command(engine.Faults{HangMS: 60_000})
	go cancel()
	status, _ := client.Order(ctx, entry.OrderCall{Address: eng.Addr(), Models: models, Fence: 3}, "")
	must.SliceContains(t, []entry.OrderStatus{entry.OrderUnknown, entry.OrderUnreached}, status, must.Sprint("an order without an answer must not count as refused"))
}
