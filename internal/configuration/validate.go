package configuration

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"regexp"
	"strings"

	"github.com/medlardeck/medlardeck/internal/request"
)

// Bounds of values in an intent.
const (
	maxContextTokens = 16 << 20
	maxWeight        = 1000
	maxLimitMS       = 4 * 3600 * 1000 // 4 hours
	maxPriority      = 1000
	maxIdentityKeepS = 90 * 24 * 3600 // 90 days
	keyHashBytes     = 32             // SHA-256
)

var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._/-]{0,127}$`)

// validator collects faults and the names that references may use.
type validator struct {
	Faults
	models, pools, targets map[string]bool
	poolKinds              map[string]PoolKind
}

// Validate reports all problems of an intent.
func Validate(in *Intent) Faults {
	v := &validator{
		models: map[string]bool{}, pools: map[string]bool{}, targets: map[string]bool{}, poolKinds: map[string]PoolKind{},
	}
	v.check(in.Version == SchemaVersion, "version", "must be %d", SchemaVersion)
	for i := range in.Models {
		v.checkModel(&in.Models[i], fmt.Sprintf("models[%d]", i))
	}
	addresses := map[string]bool{}
	for i := range in.Pools {
		v.checkPool(&in.Pools[i], fmt.Sprintf("pools[%d]", i), addresses)
	}
	v.checkWorkspaces(in.Workspaces)
	v.checkRoutes(in.Routes)
	v.checkServing(&in.Serving)
	v.checkDrains(&in.Drains)
	v.check(in.Weights.BytesPerSecond >= 0, "weights.bytes_per_second", "must not be negative")
	return v.Faults
}

// checkName checks the form of a name and that it is not taken, and marks it as
// taken.
func (v *validator) checkName(taken map[string]bool, name, path string) {
	v.check(validName.MatchString(name), path+".name", "%q is not a name: letters, digits and ._/- up to 128", name)
	v.check(!taken[name], path+".name", "%q is not unique", name)
	taken[name] = true
}

// checkRefs checks that each name is known and listed only once. kind is the
// kind of the named objects.
func (v *validator) checkRefs(names []string, known map[string]bool, path, kind string) {
	seen := map[string]bool{}
	for i, name := range names {
		at := fmt.Sprintf("%s[%d]", path, i)
		v.check(known[name], at, "there is no %s %q", kind, name)
		v.check(!seen[name], at, "%q is not unique", name)
		seen[name] = true
	}
}

func (v *validator) checkModel(m *Model, path string) {
	v.checkName(v.models, m.Name, path)
	v.check(m.ContextTokens > 0 && m.ContextTokens <= maxContextTokens, path+".context_tokens", "must be 1 to %d", maxContextTokens)
	v.check(m.WeightBytes >= 0, path+".weight_bytes", "must not be negative")
	v.check(m.KVBytesPerToken >= 0, path+".kv_bytes_per_token", "must not be negative")
}

func (v *validator) checkPool(p *Pool, path string, addresses map[string]bool) {
	v.checkName(v.pools, p.Name, path)
	v.poolKinds[p.Name] = p.Kind
	v.check(p.Kind == PoolEngine || p.Kind == PoolService, path+".kind", "must be %q or %q", PoolEngine, PoolService)
	v.check(p.Kind != PoolService || len(p.Models) == 0, path+".models", "a pool of services has no models")
	v.checkRefs(p.Models, v.models, path+".models", "model")
	for i := range p.Targets {
		t, at := &p.Targets[i], fmt.Sprintf("%s.targets[%d]", path, i)
		v.checkName(v.targets, t.Name, at)
		addr, err := netip.ParseAddrPort(t.Address)
		v.check(err == nil && addr.Port() != 0, at+".address", "%q is not an IP address and a port", t.Address)
		v.check(!addresses[t.Address], at+".address", "%q is not unique", t.Address)
		addresses[t.Address] = true
		v.check(validName.MatchString(t.FailureDomain), at+".failure_domain", "%q is not a name", t.FailureDomain)
		v.checkRefs(t.Models, v.models, at+".models", "model")
	}
}

func (v *validator) checkWorkspaces(list []Workspace) {
	names, hashes := map[string]bool{}, map[string]bool{}
	for i := range list {
		w, path := &list[i], fmt.Sprintf("workspaces[%d]", i)
		v.checkName(names, w.Name, path)
		for j, h := range w.KeyHashes {
			at := fmt.Sprintf("%s.key_hashes[%d]", path, j)
			raw, err := hex.DecodeString(h)
			v.check(err == nil && len(raw) == keyHashBytes && strings.ToLower(h) == h, at, "not a lower-case hex SHA-256 hash")
			v.check(!hashes[h], at, "key is not unique")
			hashes[h] = true
		}
		v.check(w.Weight >= 0 && w.Weight <= maxWeight, path+".weight", "must be 0 to %d", maxWeight)
		v.check(w.TokensPerSecond >= 0, path+".tokens_per_second", "must not be negative")
		v.check(w.BurstTokens >= 0, path+".burst_tokens", "must not be negative")
		v.checkRefs(w.Models, v.models, path+".models", "model")
	}
}

func (v *validator) checkRoutes(list []Route) {
	names, prefixes := map[string]bool{}, map[string]bool{}
	for i := range list {
		r, path := &list[i], fmt.Sprintf("routes[%d]", i)
		v.checkName(names, r.Name, path)
		v.check(strings.HasPrefix(r.Prefix, "/") && !strings.HasPrefix(r.Prefix+"/", "/v1/"),
			path+".prefix", "%q must start with / and not lie below /v1", r.Prefix)
		v.check(!prefixes[r.Prefix], path+".prefix", "%q is not unique", r.Prefix)
		prefixes[r.Prefix] = true
		v.check(v.poolKinds[r.Pool] == PoolService, path+".pool", "there is no pool of services %q", r.Pool)
		switch r.Idempotency {
		case "", IdempotencyByMethod, IdempotencyAlways, IdempotencyNever:
		default:
			v.add(path+".idempotency", "%q is not one of by-method, always, never", r.Idempotency)
		}
		v.checkLimit(r.LimitMS, path+".limit_ms")
		v.check(r.Identity.FingerprintWindowS >= 0 && r.Identity.FingerprintWindowS <= maxIdentityKeepS,
			path+".identity.fingerprint_window_s", "must be 0 to %d", maxIdentityKeepS)
		v.check(r.Identity.KeepS >= 0 && r.Identity.KeepS <= maxIdentityKeepS, path+".identity.keep_s", "must be 0 to %d", maxIdentityKeepS)
	}
}

func (v *validator) checkLimit(ms int, path string) {
	v.check(ms >= 0 && ms <= maxLimitMS, path, "must be 0 to %d ms", maxLimitMS)
}

func (v *validator) checkServing(s *Serving) {
	switch s.Policy {
	case "", PolicyMedlardeck, PolicyRoundRobin, PolicyLeastOutstanding:
	default:
		v.add("serving.policy", "%q is not a routing policy", s.Policy)
	}
	switch s.Measure {
	case "", MeasureFirstToken, MeasureShortSlowdown:
	default:
		v.add("serving.measure", "%q is not a measure", s.Measure)
	}
	v.checkLimit(s.ServiceLimitMS, "serving.service_limit_ms")
	for c := range request.Class(request.NumClasses) {
		name := [...]string{"short", "medium", "long", "huge"}[c]
		v.checkLimit(s.LimitsMS.ForClass(c), "serving.limits_ms."+name)
		p := s.Priorities.ForClass(c)
		v.check(p >= -maxPriority && p <= maxPriority, "serving.priorities."+name, "must be %d to %d", -maxPriority, maxPriority)
	}
}

func (v *validator) checkDrains(d *Drains) {
	v.checkRefs(d.Targets, v.targets, "drains.targets", "target")
	seen := map[string]bool{}
	for i, name := range d.Instances {
		path := fmt.Sprintf("drains.instances[%d]", i)
		v.check(validName.MatchString(name), path, "%q is not a name", name)
		v.check(!seen[name], path, "%q is not unique", name)
		seen[name] = true
	}
}
