package booking

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/medlardeck/medlardeck/internal/configuration"
)

func TestIdentityUsesFirstSourcePresentInCall(t *testing.T) {
	all := configuration.Identity{Header: "X-Order", BodyField: "order", FingerprintWindowS: 60, KeepS: 600}
	for _, tc := range []struct {
		name    string
		cfg     configuration.Identity
		headers map[string]string
		body    string
		want    string
		keep    time.Duration
	}{
		{"standard header", all, map[string]string{HeaderIdempotencyKey: "k", "X-Order": "7"}, `{"order":7}`, "key:k", 10 * time.Minute},
		{"configured header", all, map[string]string{"X-Order": "7"}, `{"order":7}`, "header:7", 10 * time.Minute},
		{"number in the body", all, nil, `{"order":7}`, "field:7", 10 * time.Minute},
		{"text in the body", all, nil, `{"order":"7"}`, `field:"7"`, 10 * time.Minute},
		{"empty field", all, nil, `{"order":""}`, "fingerprint:caller:ff", time.Minute},
		{"no field", all, nil, `{"other":{"order":7}}`, "fingerprint:caller:ff", time.Minute},
		{"no JSON", all, nil, `order=7`, "fingerprint:caller:ff", time.Minute},
		{"a key that looks like a fingerprint", all, map[string]string{HeaderIdempotencyKey: "fingerprint:x"}, "", "key:fingerprint:x", 10 * time.Minute},
		{"nothing configured", configuration.Identity{}, nil, `{"order":7}`, "", DefaultRetention},
	} {
		header := func(name string) string { return tc.headers[name] }
		got := CallIdentity(tc.cfg, header, []byte(tc.body), "caller", 255)
		must.Eq(t, tc.want, got, must.Sprint(tc.name))
		must.Eq(t, tc.keep, RetentionFor(tc.cfg, got), must.Sprint(tc.name))
	}
}

func TestKeyDependsOnPartBoundaries(t *testing.T) {
	must.NotEq(t, NewKey("a", "bc", "d"), NewKey("ab", "c", "d"))
	must.NotEq(t, NewKey("a", "b", "cd"), NewKey("a", "bc", "d"))
	must.Eq(t, NewKey("a", "b", "c"), NewKey("a", "b", "c"))
}

func FuzzBodyField(f *testing.F) {
	for _, body := range []string{`{"order":7}`, `{"order":{"a":[1]}}`, `{`, `[]`, `null`, `{"order":"\u0000"}`} {
		f.Add([]byte(body), "order")
	}
	f.Fuzz(func(t *testing.T, body []byte, name string) {
		must.Eq(t, bodyField(body, name), bodyField(append([]byte(" "), body...), name))
	})
}

func FuzzDecodeHead(f *testing.F) {
	f.Add(encodeJSON(Head{Format: formatVersion, Records: []Record{{Key: "k", Claim: "c", State: StateClaimed}}}))
	f.Add([]byte(`{"format":2}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		h, err := decodeHead(value)
		if err != nil {
			return
		}
		again, err := decodeHead(encodeJSON(h))
		must.NoError(t, err)
		must.Eq(t, encodeJSON(h), encodeJSON(again))
	})
}
