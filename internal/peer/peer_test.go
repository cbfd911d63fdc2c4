package peer

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"github.com/medlardeck/medlardeck/internal/entry"
)

type delivery struct {
	from string
	msg  entry.Message
}

func startServer(t *testing.T, addr string, config *tls.Config) (*Server, string, chan delivery) {
	t.Helper()
	ln, err := net.Listen("tcp", addr)
	must.NoError(t, err)
	deliveries := make(chan delivery, 16)
	s, err := Serve(ln, config, func(from string, msg entry.Message) { deliveries <- delivery{from, msg} })
	must.NoError(t, err)
	return s, ln.Addr().String(), deliveries
}

func issueIdentity(t *testing.T, a *Authority) *Identity {
	t.Helper()
	id, err := a.Issue()
	must.NoError(t, err)
	return id
}

func heartbeatFrom(name string) entry.Message {
	return entry.Message{Heartbeat: &entry.Heartbeat{Instance: name}}
}

func TestPeersAuthenticateEachOther(t *testing.T) {
	defer goleak.VerifyNone(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	authority, err := NewAuthority()
	must.NoError(t, err)
	otherAuthority, err := NewAuthority()
	must.NoError(t, err)
	s, addr, deliveries := startServer(t, "127.0.0.1:0", issueIdentity(t, authority).Server())
	defer s.Close()

	trustedClient := NewClient("entry-1", issueIdentity(t, authority).Client())
	defer trustedClient.Close()
	must.NoError(t, trustedClient.Send(ctx, addr, heartbeatFrom("entry-1")))
	must.Eq(t, "entry-1", (<-deliveries).msg.Heartbeat.Instance)

	untrustedIdentity := issueIdentity(t, otherAuthority)
	untrustedIdentity.authority = issueIdentity(t, authority).authority // trusts the server, but the server does not trust its certificate
	untrustedClient := NewClient("entry-2", untrustedIdentity.Client())
	defer untrustedClient.Close()
	must.Error(t, untrustedClient.Send(ctx, addr, heartbeatFrom("entry-2")))

	untrustedServer, untrustedAddr, _ := startServer(t, "127.0.0.1:0", issueIdentity(t, otherAuthority).Server())
	defer untrustedServer.Close()
	must.Error(t, trustedClient.Send(ctx, untrustedAddr, heartbeatFrom("entry-1")))
	must.Eq(t, 0, len(deliveries))
}

func TestClientBacksOffAndReconnectsAfterPeerRestart(t *testing.T) {
	defer goleak.VerifyNone(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	s, addr, _ := startServer(t, "127.0.0.1:0", nil)
	c := NewClient("entry-1", nil)
	defer c.Close()
	must.NoError(t, c.Send(ctx, addr, heartbeatFrom("entry-1")))
	s.Close()
	must.Error(t, c.Send(ctx, addr, heartbeatFrom("entry-1")))
	must.Error(t, c.Send(ctx, addr, heartbeatFrom("entry-1")))
	must.ErrorIs(t, c.Send(ctx, addr, heartbeatFrom("entry-1")), ErrBackoff)
	c.connTo(addr).retryAt = time.Time{} // ends the backoff
	s, _, deliveries := startServer(t, addr, nil)
	defer s.Close()
	must.NoError(t, c.Send(ctx, addr, heartbeatFrom("entry-1")))
	must.Eq(t, "entry-1", (<-deliveries).from)
}

func TestOversizedMessageClosesConnection(t *testing.T) {
	defer goleak.VerifyNone(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	s, addr, deliveries := startServer(t, "127.0.0.1:0", nil)
	defer s.Close()
	c := NewClient("entry-1", nil)
	defer c.Close()
	must.Error(t, c.Send(ctx, addr, heartbeatFrom(strings.Repeat("x", MaxMessageBytes+1))))
	must.Eq(t, 0, len(deliveries))
	must.NoError(t, c.Send(ctx, addr, heartbeatFrom("entry-1")))
}

func FuzzServerCodecDecode(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Add(binary.BigEndian.AppendUint64([]byte{0xf8}, 1<<40))
	f.Fuzz(func(t *testing.T, raw []byte) {
		server, client := net.Pipe()
		done := make(chan struct{})
		go func() {
			defer close(done)
			c := serverCodec{newCodec(server)}
			defer c.Close()
			var env Envelope
			_ = c.decode(&env)
		}()
		_, _ = client.Write(raw)
		client.Close()
		<-done
	})
}
