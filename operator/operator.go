// Package operator is the HTTP interface for operators: readiness, metrics and the state dump.
package operator

import (
	"encoding/json"
	"net/http"
)

// ReadinessChecker says whether the daemon takes requests, and why not.
type ReadinessChecker interface {
	Ready() (bool, string)
}

// Dumper returns the state of one part as a value that encodes as JSON in snake case. It must hold no secrets.
type Dumper interface {
	Dump() any
}

// DumpFunc makes a function a Dumper.
type DumpFunc func() any

// Dump calls f.
func (f DumpFunc) Dump() any { return f() }

// API is the HTTP interface.
type API struct {
	readiness   ReadinessChecker
	metrics http.Handler
	dumpers map[string]Dumper
	jobStopper    JobStopper
}

// New returns the interface. dumpers has the parts of the state dump by name.
func New(r ReadinessChecker, metrics http.Handler, dumpers map[string]Dumper) *API {
	return &API{readiness: r, metrics: metrics, dumpers: dumpers}
}

// Handler returns the routes.
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
