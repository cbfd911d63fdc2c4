package operatorapi

import (
	"bufio"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// Operator is a person or a program that is authorized to send commands.
type Operator struct {
	Name string
	// TokenHash is the hex-encoded SHA-256 hash of the bearer token.
	TokenHash string
}

// ParseOperators reads one operator per line in the form "name hash", where hash
// is the hex-encoded SHA-256 hash of the token. Empty lines and lines that start
// with # are skipped. The error lists every invalid line.
func ParseOperators(r io.Reader) ([]Operator, error) {
	var operators []Operator
	var errs []error
	scanner := bufio.NewScanner(r)
	for line := 1; scanner.Scan(); line++ {
		fields := strings.Fields(scanner.Text())
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		if len(fields) != 2 || !isSHA256Hex(fields[1]) {
			errs = append(errs, fmt.Errorf("line %d: a name and a hex SHA-256 hash are expected", line))
			continue
		}
		operators = append(operators, Operator{Name: fields[0], TokenHash: strings.ToLower(fields[1])})
	}
	if err := errors.Join(append(errs, scanner.Err())...); err != nil {
		return nil, fmt.Errorf("read operators: %w", err)
	}
	return operators, nil
}

func isSHA256Hex(s string) bool {
	raw, err := hex.DecodeString(s)
	return err == nil && len(raw) == sha256.Size
}

// HashToken returns the hex-encoded SHA-256 hash of a token or key, the form in
// which both are stored.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// authenticate returns the operator's name: the common name of a verified
// client certificate, or else the operator that the bearer token belongs to. The
// token is compared with every operator's hash, each in constant time, so that
// the response time does not reveal which one matched.
func (a *api) authenticate(r *http.Request) (string, bool) {
	if r.TLS != nil && len(r.TLS.VerifiedChains) > 0 {
		return r.TLS.VerifiedChains[0][0].Subject.CommonName, true
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return "", false
	}
	hash := []byte(HashToken(token))
	name, found := "", false
	for _, op := range a.opts.Operators {
		if subtle.ConstantTimeCompare(hash, []byte(op.TokenHash)) == 1 {
			name, found = op.Name, true
		}
	}
	return name, found
}
