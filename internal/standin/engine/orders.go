package engine

import (
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/medlardeck/medlardeck/internal/entry"
	"github.com/medlardeck/medlardeck/internal/order"
)

// Defaults of orders.
const (
	DefaultVersion  = "1"
	DefaultLoadTime = 2 * time.Second
)

// models is what the engine has loaded and what it is loading.
type models struct {
	loaded  []order.Model
	loading []order.Model // the set of the order in progress, nil for none
	fence   uint64
	changes int // of the wanted set
}

// orderBody is an order: the whole set of models to have.
type orderBody struct {
	Models []order.Model `json:"models"`
	Fence  uint64        `json:"fence"`
	Holder string        `json:"holder"`
}

func (e *Engine) initialModels() models {
	var m models
	for _, name := range e.opts.Models {
		m.loaded = append(m.loaded, order.Model{Name: name, Version: e.opts.Version})
	}
	return m
}

// serves reports whether a model is loaded. e.mu is held.
func (e *Engine) serves(name string) bool {
	return slices.ContainsFunc(e.models.loaded, func(m order.Model) bool { return m.Name == name })
}

// modelNames lists the loaded models. e.mu is held.
func (e *Engine) modelNames() []string {
	names := make([]string, len(e.models.loaded))
	for i, m := range e.models.loaded {
		names[i] = m.Name
	}
	return names
}

// Models returns the models that are loaded.
func (e *Engine) Models() []order.Model {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.models.loaded)
}

// orderState is the engine's account of its models. e.mu is held.
func (e *Engine) orderState() entry.OrderState {
	s := entry.OrderState{Models: slices.Clone(e.models.loaded), Loading: slices.Clone(e.models.loading)}
	if e.opts.Fencing {
		s.Fence = e.models.fence
	}
	return s
}

func (e *Engine) getModels(w http.ResponseWriter, r *http.Request) {
	e.waitHang(r)
	e.mu.Lock()
	state := e.orderState()
	e.mu.Unlock()
	writeJSON(w, state)
}

// putModels takes an order. Models that it leaves out or replaces go at once,
// new ones are loaded one after the other.
func (e *Engine) putModels(w http.ResponseWriter, r *http.Request) {
	var body orderBody
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes)).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.waitHang(r)
	want := "Bearer " + e.opts.OrderToken
	if e.opts.OrderToken != "" && subtle.ConstantTimeCompare([]byte(want), []byte(r.Header.Get("Authorization"))) == 0 {
		http.Error(w, "unknown giver of orders", http.StatusUnauthorized)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	if e.opts.Fencing && body.Fence < e.models.fence {
		w.WriteHeader(http.StatusConflict)
		json.NewEncoder(w).Encode(e.orderState())
		return
	}
	e.models.fence = max(e.models.fence, body.Fence)
	e.want(body.Models)
	json.NewEncoder(w).Encode(e.orderState())
}

// want begins to bring the engine to a set of models. e.mu is held.
func (e *Engine) want(set []order.Model) {
	e.models.loaded = slices.DeleteFunc(slices.Clone(e.models.loaded), func(m order.Model) bool { return !slices.Contains(set, m) })
	e.models.loading = nil
	e.models.changes++
	e.record()
	if len(e.models.loaded) == len(set) {
		return
	}
	e.models.loading = slices.Clone(set)
	change, incarnation := e.models.changes, e.incarnation
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		for _, m := range set {
			if !e.load(m, change, incarnation) {
				return
			}
		}
	}()
}

// load loads one model of a set unless another order came meanwhile.
func (e *Engine) load(m order.Model, change int, incarnation uint64) bool {
	e.mu.Lock()
	has := slices.Contains(e.models.loaded, m)
	e.mu.Unlock()
	if !has && !e.sleep(e.scaled(e.opts.LoadTime)) {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.models.changes != change || e.incarnation != incarnation {
		return false
	}
	if !has {
		e.models.loaded = append(e.models.loaded, m)
	}
	if len(e.models.loaded) == len(e.models.loading) {
		e.models.loading = nil
	}
	e.record()
	return true
}
