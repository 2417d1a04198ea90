package engine

import (
	"encoding/json"
	"net/http"
	"slices"
)

// Order is a command to the engine. It is the body of POST /v1/orders.
type Order struct {
	Fence int64  `json:"fence"` // fencing token, the offset of the sender's lease record
	Kind  string `json:"kind"`  // load, unload or role
	Model string `json:"model"` // model, adapter or version to load or unload, as NAME or NAME@VERSION
	Role  string `json:"role"`  // new role, for an order of kind role
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&o); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())

		return
	}

	e.mu.Lock()
	defer e.mu.Unlock()

	if e.options.ChecksFencing && o.Fence < e.fence {
		e.counts.Refused++
		writeError(w, http.StatusConflict, "the order carries an old fencing token")

		return
	}

	e.fence = max(e.fence, o.Fence)
	e.counts.Orders++

	switch o.Kind {
	case "load":
		e.models[o.Model] = true
	case "unload":
		delete(e.models, o.Model)
	case "role":
		e.role = o.Role
	default:
		writeError(w, http.StatusBadRequest, "unknown kind of order")

		return
	}

	writeJSON(w, map[string]string{"state": "done"})
}

func (e *Engine) handleState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()

	m := []string{}
	for k := range e.models {
		m = append(m, k)
	}

	slices.Sort(m)
	writeJSON(w, map[string]any{"models": m, "role": e.role, "leaving": e.leaving, "fence": e.fence})
}
