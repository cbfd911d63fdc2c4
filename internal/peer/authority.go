package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"fmt"
	"math/big"
	"time"
)

// certificateValidity is the validity period of the authority's own certificate
// and of those it issues.
const certificateValidity = 30 * 24 * time.Hour

// Authority is an in-memory certificate authority for deployments that run in a
// single process, such as development and load tests.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority returns an authority with a newly generated key and a self-signed
// certificate.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate authority key: %w", err)
	}
	template := certificateTemplate("medlardeck development authority", 1)
	template.IsCA, template.BasicConstraintsValid, template.KeyUsage = true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("create authority certificate: %w", err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("parse authority certificate: %w", err)
	}
	return &Authority{cert: cert, key: key}, nil
}

// Issue returns an identity with a new key. Its certificate is valid for clients
// and servers and carries CertificateDNSName and the given DNS names.
func (a *Authority) Issue(names ...string) (*Identity, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate peer key: %w", err)
	}
	template := certificateTemplate(CertificateDNSName, time.Now().UnixNano())
	template.DNSNames = append([]string{CertificateDNSName}, names...)
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return nil, fmt.Errorf("create peer certificate: %w", err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return NewIdentity(tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, pool), nil
}

func certificateTemplate(name string, serial int64) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(certificateValidity),
	}
}
