package booking

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/medlardeck/medlardeck/internal/configuration"
)

// Key identifies a record in the store. It is a hex-encoded hash of workspace,
// route and call identity.
type Key string

// keyBytes is the number of bytes of the hash that form a key.
const keyBytes = 16

// NewKey returns the key of an identity, scoped by workspace and route.
func NewKey(workspace, route, identity string) Key {
	h := sha256.New()
	for _, part := range []string{workspace, route, identity} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write([]byte(part))
	}
	return Key(hex.EncodeToString(h.Sum(nil)[:keyBytes]))
}

func (k Key) hash() uint64 { return xxhash.Sum64String(string(k)) }

// HeaderIdempotencyKey is the standard header in which a client sends the
// identity of a call.
const HeaderIdempotencyKey = "Idempotency-Key"

// fingerprintPrefix marks identities derived from a request's fingerprint; they
// are valid for the configured window only.
const fingerprintPrefix = "fingerprint:"

// CallIdentity returns the string that a call and its retries have in common: the
// Idempotency-Key header, else the first of the route's configured header, body
// field and fingerprint that the call carries, else an empty string. A
// fingerprint identity includes the caller, so that equal requests of different
// callers are distinct.
func CallIdentity(cfg configuration.Identity, header func(string) string, body []byte, caller string, fingerprint uint64) string {
	if v := header(HeaderIdempotencyKey); v != "" {
		return "key:" + v
	}
	if cfg.Header != "" {
		if v := header(cfg.Header); v != "" {
			return "header:" + v
		}
	}
	if cfg.BodyField != "" {
		if v := bodyField(body, cfg.BodyField); v != "" {
			return "field:" + v
		}
	}
	if cfg.FingerprintWindowS > 0 {
		return fingerprintPrefix + caller + ":" + strconv.FormatUint(fingerprint, 16)
	}
	return ""
}

// bodyField returns the JSON text of a top-level field. It returns an empty
// string if the body is not a JSON object or the field is missing, null or an
// empty string.
func bodyField(body []byte, name string) string {
	var fields map[string]json.RawMessage
	if json.Unmarshal(body, &fields) != nil {
		return ""
	}
	switch v := string(fields[name]); v {
	case "null", `""`:
		return ""
	default:
		return v
	}
}

// RetentionFor returns how long the record of an identity is kept after the call's
// time limit.
func RetentionFor(cfg configuration.Identity, identity string) time.Duration {
	if strings.HasPrefix(identity, fingerprintPrefix) {
		return time.Duration(cfg.FingerprintWindowS) * time.Second
	}
	if cfg.KeepS > 0 {
		return time.Duration(cfg.KeepS) * time.Second
	}
	return DefaultRetention
}
