package cli

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/medlardeck/medlardeck/internal/entry"
)

// Environment variables of the operators' commands; flags win.
const (
	envOperators = "MEDLARDECK_OPERATORS"
	envToken     = "MEDLARDECK_TOKEN"
	envTokenFile = "MEDLARDECK_TOKEN_FILE"
	envAuthority = "MEDLARDECK_AUTHORITY"
	envCert      = "MEDLARDECK_CERT"
	envKey       = "MEDLARDECK_KEY"
)

// requestTimeout bounds one request to an entry instance.
const requestTimeout = 70 * time.Second

// maxAnswerBytes bounds the answer of an entry instance.
const maxAnswerBytes = 256 << 20

// operatorFlags are the flags that every operators' command has.
type operatorFlags struct {
	*flag.FlagSet
	operators, tokenFile, authority, cert, key, output string
}

func newOperatorFlags(name, usage string, stderr io.Writer) *operatorFlags {
	f := &operatorFlags{FlagSet: flag.NewFlagSet(name, flag.ContinueOnError)}
	f.SetOutput(stderr)
	f.StringVar(&f.operators, "operators", os.Getenv(envOperators), "base URLs of entry instances for operators, separated by commas; tried in order ("+envOperators+")")
	f.StringVar(&f.tokenFile, "token-file", os.Getenv(envTokenFile), "file with the operator's token ("+envTokenFile+"; the token itself in "+envToken+")")
	f.StringVar(&f.authority, "authority", os.Getenv(envAuthority), "PEM file with the authority of the instances' certificates ("+envAuthority+")")
	f.StringVar(&f.cert, "cert", os.Getenv(envCert), "PEM file with the operator's certificate ("+envCert+")")
	f.StringVar(&f.key, "key", os.Getenv(envKey), "PEM file with the key of that certificate ("+envKey+")")
	f.StringVar(&f.output, "o", "table", "output: table or json")
	f.Usage = func() {
		fmt.Fprintln(stderr, "usage: medlardeck", usage)
		f.PrintDefaults()
	}
	return f
}

// parse reads flags that may stand before and behind the arguments.
func (f *operatorFlags) parse(args []string) ([]string, error) {
	var rest []string
	for {
		if err := f.Parse(args); err != nil {
			return nil, err
		}
		if args = f.Args(); len(args) == 0 {
			break
		}
		rest, args = append(rest, args[0]), args[1:]
	}
	if f.output != "table" && f.output != "json" {
		return nil, fmt.Errorf("output %q: table or json is expected", f.output)
	}
	return rest, nil
}

// operatorClient talks to the operators' API of entry instances.
type operatorClient struct {
	urls  []string
	token string
	http  *http.Client
}

func (f *operatorFlags) client() (*operatorClient, error) {
	c := &operatorClient{token: os.Getenv(envToken)}
	var errs []error
	for _, u := range strings.Split(f.operators, ",") {
		if u = strings.TrimRight(strings.TrimSpace(u), "/"); u != "" {
			c.urls = append(c.urls, u)
		}
	}
	if len(c.urls) == 0 {
		errs = append(errs, fmt.Errorf("no entry instance: set -operators or %s", envOperators))
	}
	if f.tokenFile != "" {
		raw, err := os.ReadFile(f.tokenFile)
		errs = append(errs, err)
		c.token = strings.TrimSpace(string(raw))
	}
	config, err := f.tls()
	errs = append(errs, err)
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	c.http = &http.Client{Timeout: requestTimeout, Transport: &http.Transport{TLSClientConfig: config}}
	return c, nil
}

func (f *operatorFlags) tls() (*tls.Config, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if f.authority != "" {
		pem, err := os.ReadFile(f.authority)
		if err != nil {
			return nil, err
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(pem) {
			return nil, fmt.Errorf("read authority %s: no certificate", f.authority)
		}
	}
	if f.cert != "" {
		cert, err := tls.LoadX509KeyPair(f.cert, f.key)
		if err != nil {
			return nil, fmt.Errorf("read operator's certificate: %w", err)
		}
		config.Certificates = []tls.Certificate{cert}
	}
	return config, nil
}

// do sends a command to the first entry instance that answers. lost says that
// an instance took the request and its answer did not arrive.
func (c *operatorClient) do(method, path string, body []byte) (out entry.CommandResult, lost bool, err error) {
	var errs []error
	for _, u := range c.urls {
		var sent bool
		out, sent, err = c.once(method, u+path, body)
		if err == nil && (out.Failure != entry.CommandFailureUnavailable || u == c.urls[len(c.urls)-1]) {
			return out, lost, nil
		}
		lost = lost || sent && err != nil
		if err != nil {
			errs = append(errs, err)
		}
	}
	return out, lost, errors.Join(errs...)
}

func (c *operatorClient) once(method, url string, body []byte) (out entry.CommandResult, sent bool, err error) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return out, false, fmt.Errorf("request %s: %w", url, err)
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		var op *net.OpError
		dialed := !errors.As(err, &op) || op.Op != "dial"
		return out, dialed, fmt.Errorf("request %s: %w", url, err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&out); err != nil {
		return out, true, fmt.Errorf("read answer of %s: status %d: %w", url, resp.StatusCode, err)
	}
	return out, true, nil
}

// exitFailed prints why a command was not carried out.
func exitFailed(stderr io.Writer, out entry.CommandResult) int {
	fmt.Fprintf(stderr, "%s: %s\n", out.Failure, out.Text)
	for _, fault := range out.Faults {
		fmt.Fprintf(stderr, "  %s: %s\n", fault.Path, fault.Text)
	}
	switch out.Failure {
	case entry.CommandFailureInvalid, entry.CommandFailureNoPlan, entry.CommandFailureNoRevision:
		return exitInvalid
	case entry.CommandFailureUnavailable:
		return exitUnavailable
	case entry.CommandFailureBehind:
		return exitConflict
	}
	return exitError
}

// fail prints an error of the command line itself.
func fail(stderr io.Writer, err error) int {
	if !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(stderr, "medlardeck:", err)
	}
	return exitUsage
}

func writeJSON(w io.Writer, v any) {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	enc.Encode(v)
}
