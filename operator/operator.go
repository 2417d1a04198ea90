// Package operator serves the HTTP interface of a daemon for operators: liveness, readiness, metrics, the state dump
// and stopping of jobs.
package operator

import (
	"encoding/json"
	"net/http"
)

// ReadinessChecker reports whether the daemon accepts requests.
type ReadinessChecker interface {
	// Ready returns true, or false with the reason.
	Ready() (bool, string)
}

// Dumper returns the state of one component as a value whose JSON encoding has keys in snake case. The value must not
// contain secrets. Dump is called concurrently.
type Dumper interface {
	Dump() any
}

// DumpFunc adapts a function to a Dumper.
type DumpFunc func() any

// Dump calls f.
func (f DumpFunc) Dump() any { return f() }

// API is the HTTP interface for operators.
type API struct {
	readiness  ReadinessChecker
	metrics    http.Handler
	dumpers    map[string]Dumper
	jobStopper JobStopper
}

// New returns an interface without a job stopper. dumpers has the sections of the state dump by name.
func New(r ReadinessChecker, metrics http.Handler, dumpers map[string]Dumper) *API {
	return &API{readiness: r, metrics: metrics, dumpers: dumpers}
}

// Handler returns the handler that serves all paths of the interface.
func (o *API) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, map[string]bool{"live": true})
	})
	m.HandleFunc("GET /ready", o.handleReady)
	m.HandleFunc("GET /dump", o.handleDump)
	m.Handle("GET /metrics", o.metrics)
	m.HandleFunc("POST /jobs/{id}/stop", o.handleStopJob)

	return m
}

func (o *API) handleReady(w http.ResponseWriter, _ *http.Request) {
	ok, why := o.readiness.Ready()
	if !ok {
		writeJSON(w, http.StatusServiceUnavailable, map[string]any{"ready": false, "reason": why})

		return
	}

	writeJSON(w, http.StatusOK, map[string]any{"ready": true})
}

func (o *API) handleDump(w http.ResponseWriter, _ *http.Request) {
	v := map[string]any{}
	for n, d := range o.dumpers {
		v[n] = d.Dump()
	}

	writeJSON(w, http.StatusOK, v)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
