package instance

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/pem"
	"errors"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"github.com/medlardeck/medlardeck/internal/configuration"
	"github.com/medlardeck/medlardeck/internal/entry"
	"github.com/medlardeck/medlardeck/internal/httpapi"
	"github.com/medlardeck/medlardeck/internal/peer"
	"github.com/medlardeck/medlardeck/internal/result"
	"github.com/medlardeck/medlardeck/internal/standin/engine"
	platformstandin "github.com/medlardeck/medlardeck/internal/standin/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	return ln
}

// testIntent returns an intent with the model draft and a workspace whose key is "key".
func testIntent() configuration.Intent {
	keyHash := sha256.Sum256([]byte("key"))
	return configuration.Intent{
		Version:    configuration.SchemaVersion,
		Models:     []configuration.Model{{Name: "draft", ContextTokens: 1 << 20}},
		Workspaces: []configuration.Workspace{{Name: "museum", KeyHashes: []string{hex.EncodeToString(keyHash[:])}}},
		Pools:      []configuration.Pool{{Name: "drafting", Kind: configuration.PoolEngine, Models: []string{"draft"}}},
	}
}

// addEngine starts an engine and adds it to the first pool of the intent.
func addEngine(t *testing.T, intent *configuration.Intent, opts engine.Options) {
	t.Helper()
	opts.Models = []string{"draft"}
	eng, err := engine.Start("127.0.0.1:0", opts)
	must.NoError(t, err)
	t.Cleanup(eng.Close)
	pool := &intent.Pools[0]
	pool.Targets = append(pool.Targets, configuration.Target{Name: fmt.Sprint("engine-", len(pool.Targets)), Address: eng.Addr()})
}

// startTestInstance starts an instance with two engine targets and returns it
// with the address of its caller listener.
func startTestInstance(t *testing.T, stopLag time.Duration, callerTLS *tls.Config) (inst *Instance, address string) {
	t.Helper()
	intent := testIntent()
	for range 2 {
		addEngine(t, &intent, engine.Options{Speed: 20})
	}
	return startInstanceWithIntent(t, intent, Options{Entry: entry.Options{StopLag: stopLag}, CallerTLS: callerTLS})
}

// startInstanceWithIntent starts an instance that has the intent in force.
func startInstanceWithIntent(t *testing.T, intent configuration.Intent, opts Options) (inst *Instance, address string) {
	t.Helper()
	if opts.PlatformURL == "" {
		srv := httptest.NewServer(platformstandin.New(platformstandin.Options{}).Handler())
		t.Cleanup(srv.Close)
		opts.PlatformURL = srv.URL
	}
	opts.Entry.Name, opts.Entry.FailureDomain, opts.Entry.Incarnation = "entry-0", "domain-a", 1
	if opts.Operators == nil {
		opts.Operators = listen(t)
	}
	opts.Callers, opts.Peers = listen(t), listen(t)
	opts.DialTimeout, opts.Log = time.Second, logr.Discard()
	inst, err := Start(opts)
	must.NoError(t, err)
	inst.Node.AdoptConfiguration(configuration.Accepted{Revision: 1, Intent: intent})
	return inst, opts.Callers.Addr().String()
}

// streamCompletion sends one streaming completion request and returns the HTTP
// status, the result code and the whole body. n makes the prompt unique.
func streamCompletion(client *http.Client, url string, n int) (status, code, body string, err error) {
	req, err := http.NewRequest(http.MethodPost, url+"/v1/completions",
		strings.NewReader(fmt.Sprintf(`{"model":"draft","stream":true,"max_tokens":20,"prompt":"%d"}`, n)))
	if err != nil {
		return "", "", "", err
	}
	req.Header.Set("Authorization", "Bearer key")
	resp, err := client.Do(req)
	if err != nil {
		return "", "", "", err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return resp.Status, resp.Header.Get(httpapi.HeaderCode), string(raw), err
}

// TestPlannedStopInterruptsNoRequest stops an instance under load. Each request
// must either get its complete response or be refused without having run.
func TestPlannedStopInterruptsNoRequest(t *testing.T) {
	inst, address := startTestInstance(t, time.Second, nil)
	var wg sync.WaitGroup
	var mu sync.Mutex
	complete, refused := 0, 0
	completed := make(chan struct{}, 1000)
	for caller := range 20 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for n := 0; ; n++ {
				_, code, body, err := streamCompletion(client, "http://"+address, 1000*caller+n)
				if errors.Is(err, syscall.ECONNREFUSED) {
					return // the instance has closed its listener
				}
				mu.Lock()
				switch {
				case err != nil:
					t.Errorf("caller %d, request %d: %v", caller, n, err)
				case code == fmt.Sprint(int(result.Stopping)):
					refused++
				case !strings.HasSuffix(body, "data: [DONE]\n\n"):
					t.Errorf("caller %d, request %d: cut short: code %s, %q", caller, n, code, body)
				default:
					complete++
				}
				mu.Unlock()
				if code != "" || err != nil {
					return
				}
				select {
				case completed <- struct{}{}:
				default:
				}
			}
		}()
	}
	for range 40 {
		<-completed
	}
	must.True(t, inst.Node.Ready())
	must.NoError(t, inst.Stop(t.Context()))
	wg.Wait()
	must.False(t, inst.Node.Ready())
	must.GreaterEq(t, 40, complete)
	t.Logf("%d complete, %d refused as stopping", complete, refused)
}

// Stop must return the error of its context if that ends before the planned stop
// is complete.
func TestStopThatTakesTooLongIsReported(t *testing.T) {
	inst, address := startTestInstance(t, time.Hour, nil)
	_, _, body, err := streamCompletion(http.DefaultClient, "http://"+address, 1)
	must.NoError(t, err)
	must.StrHasSuffix(t, "data: [DONE]\n\n", body)
	http.DefaultClient.CloseIdleConnections()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	must.ErrorIs(t, inst.Stop(ctx), context.Canceled)
}

// writeCertificate writes a self-signed certificate with the given serial number
// and its key. The files' modification time differs for each serial number, so
// that a reload detects the change.
func writeCertificate(t *testing.T, dir string, serial int64) (certFile, keyFile string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "callers"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	must.NoError(t, err)
	rawKey, err := x509.MarshalPKCS8PrivateKey(key)
	must.NoError(t, err)
	certFile, keyFile = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	must.NoError(t, os.WriteFile(certFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	must.NoError(t, os.WriteFile(keyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: rawKey}), 0o600))
	modTime := time.Unix(serial*1000, 0)
	must.NoError(t, errors.Join(os.Chtimes(certFile, modTime, modTime), os.Chtimes(keyFile, modTime, modTime)))
	return certFile, keyFile
}

func TestCertificateIsReloadedWhileRunning(t *testing.T) {
	dir := t.TempDir()
	certFile, keyFile := writeCertificate(t, dir, 1)
	identity, err := peer.LoadIdentity(certFile, keyFile, "")
	must.NoError(t, err)
	identity.SetReloadInterval(0)
	inst, address := startTestInstance(t, 0, identity.Public())
	defer inst.Close()
	for _, serial := range []int64{1, 2, 3} {
		if serial == 3 { // an invalid file must leave the previous certificate in use
			must.NoError(t, os.WriteFile(certFile, []byte("broken"), 0o600))
			serial = 2
		} else {
			writeCertificate(t, dir, serial)
		}
		client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
		_, _, body, err := streamCompletion(client, "https://"+address, int(serial))
		must.NoError(t, err)
		must.StrHasSuffix(t, "data: [DONE]\n\n", body)
		conn, err := tls.Dial("tcp", address, &tls.Config{InsecureSkipVerify: true})
		must.NoError(t, err)
		must.Eq(t, serial, conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64())
		conn.Close()
		client.CloseIdleConnections()
	}
}
