package peer

import (
	"crypto/tls"
	"net"
	"testing"

	"github.com/shoenig/test/must"
)

// handshake performs a TLS handshake in which the client has the given certificates
// and returns the result on the server side.
func handshake(t *testing.T, server *tls.Config, certs ...tls.Certificate) (tls.ConnectionState, error) {
	t.Helper()
	serverConn, clientConn := net.Pipe()
	defer serverConn.Close()
	client := tls.Client(clientConn, &tls.Config{InsecureSkipVerify: true, Certificates: certs})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = client.Handshake()
		_, _ = client.Read(make([]byte, 1)) // reads the alert of the server, if any
		_ = clientConn.Close()
	}()
	conn := tls.Server(serverConn, server)
	err := conn.Handshake()
	state := conn.ConnectionState()
	_ = serverConn.Close()
	<-done
	return state, err
}

func TestPublicListenerVerifiesClientCertificates(t *testing.T) {
	authority, err := NewAuthority()
	must.NoError(t, err)
	otherAuthority, err := NewAuthority()
	must.NoError(t, err)
	identity, otherIdentity := issueIdentity(t, authority), issueIdentity(t, otherAuthority)

	state, err := handshake(t, identity.Public())
	must.NoError(t, err)
	must.Len(t, 0, state.VerifiedChains)

	state, err = handshake(t, identity.Public(), *identity.cert)
	must.NoError(t, err)
	must.Len(t, 1, state.VerifiedChains)

	_, err = handshake(t, identity.Public(), *otherIdentity.cert)
	must.Error(t, err)

	// Without an authority no client certificate is requested or verified.
	withoutAuthority := NewIdentity(*identity.cert, nil)
	state, err = handshake(t, withoutAuthority.Public(), *otherIdentity.cert)
	must.NoError(t, err)
	must.Len(t, 0, state.VerifiedChains)
}
