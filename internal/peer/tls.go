package peer

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// CertificateDNSName is the DNS name in the certificate of every entry instance.
// Peers verify this name instead of an address, because an instance can be replaced
// by one with another address at any time.
const CertificateDNSName = "medlardeck-entry"

// defaultReloadInterval is the minimum interval between checks of the files for
// changes.
const defaultReloadInterval = 10 * time.Second

// Identity holds the certificate of this instance and the certificate authority
// that must have signed the certificates of peers. An identity loaded from files is
// reloaded when their modification times change.
type Identity struct {
	certFile, keyFile, authorityFile string

	mu             sync.Mutex
	reloadInterval time.Duration // minimum time between checks of the files
	cert           *tls.Certificate
	authority      *x509.CertPool
	modTimes       [3]time.Time
	lastCheck      time.Time
}

// LoadIdentity loads an identity from PEM files. With an empty authorityFile the
// identity is suitable only for listeners that request no client certificate.
func LoadIdentity(certFile, keyFile, authorityFile string) (*Identity, error) {
	id := &Identity{certFile: certFile, keyFile: keyFile, authorityFile: authorityFile, reloadInterval: defaultReloadInterval}
	if err := id.loadFiles(); err != nil {
		return nil, err
	}
	return id, nil
}

// NewIdentity returns an identity that is held in memory and never reloaded.
func NewIdentity(cert tls.Certificate, authority *x509.CertPool) *Identity {
	return &Identity{cert: &cert, authority: authority}
}

// SetReloadInterval sets the minimum interval between checks of the files for
// changes.
func (id *Identity) SetReloadInterval(d time.Duration) {
	id.mu.Lock()
	defer id.mu.Unlock()
	id.reloadInterval = d
}

func (id *Identity) loadFiles() error {
	cert, err := tls.LoadX509KeyPair(id.certFile, id.keyFile)
	if err != nil {
		return fmt.Errorf("read certificate %s: %w", id.certFile, err)
	}
	pool, err := loadAuthority(id.authorityFile)
	if err != nil {
		return err
	}
	id.cert, id.authority, id.modTimes = &cert, pool, id.fileModTimes()
	return nil
}

func loadAuthority(file string) (*x509.CertPool, error) {
	if file == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read certificate authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("read certificate authority %s: no PEM certificate found", file)
	}
	return pool, nil
}

// fileModTimes returns the modification times of the files, zero for a file that
// can't be examined.
func (id *Identity) fileModTimes() (modTimes [3]time.Time) {
	for i, name := range []string{id.certFile, id.keyFile, id.authorityFile} {
		if info, err := os.Stat(name); err == nil {
			modTimes[i] = info.ModTime()
		}
	}
	return modTimes
}

// currentCertificates returns the certificate and the authority in use, after
// reloading changed files. If a file can't be loaded, the previous ones stay in use.
func (id *Identity) currentCertificates() (*tls.Certificate, *x509.CertPool) {
	id.mu.Lock()
	defer id.mu.Unlock()
	if id.certFile != "" && time.Since(id.lastCheck) > id.reloadInterval {
		id.lastCheck = time.Now()
		if id.fileModTimes() != id.modTimes {
			_ = id.loadFiles()
		}
	}
	return id.cert, id.authority
}

// Server returns the TLS configuration of a listener for peers. It requires a client
// certificate that the authority signed.
func (id *Identity) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _ := id.currentCertificates()
			return cert, nil
		},
		VerifyConnection: id.verifyPeer(x509.ExtKeyUsageClientAuth),
	}
}

// Public returns the TLS configuration of a listener for callers or operators. With
// an authority, a client certificate is optional and verified if presented.
func (id *Identity) Public() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, authority := id.currentCertificates()
			config := &tls.Config{
				MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*cert}, NextProtos: []string{"h2", "http/1.1"},
			}
			if authority != nil {
				config.ClientCAs, config.ClientAuth = authority, tls.VerifyClientCertIfGiven
			}
			return config, nil
		},
		// GetConfigForClient supplies the certificates, but http.Server.ServeTLS
		// starts only if a certificate or GetCertificate is set.
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _ := id.currentCertificates()
			return cert, nil
		},
	}
}

// Client returns the TLS configuration for connections to peers. verifyPeer checks
// the server certificate against the authority in use at the time of the handshake.
func (id *Identity) Client() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		ServerName:         CertificateDNSName,
		InsecureSkipVerify: true, // VerifyConnection verifies the certificate instead
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := id.currentCertificates()
			return cert, nil
		},
		VerifyConnection: id.verifyPeer(x509.ExtKeyUsageServerAuth),
	}
}

// verifyPeer returns a function that checks the certificate chain of a peer against
// the current authority, CertificateDNSName and the given key usage.
func (id *Identity) verifyPeer(usage x509.ExtKeyUsage) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return errors.New("verify peer: no certificate presented")
		}
		_, authority := id.currentCertificates()
		intermediates := x509.NewCertPool()
		for _, cert := range state.PeerCertificates[1:] {
			intermediates.AddCert(cert)
		}
		_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
			Roots: authority, Intermediates: intermediates, DNSName: CertificateDNSName, KeyUsages: []x509.ExtKeyUsage{usage},
		})
		if err != nil {
			return fmt.Errorf("verify peer: %w", err)
		}
		return nil
	}
}
