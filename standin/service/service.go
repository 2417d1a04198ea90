// Package service implements a stand-in for a plain service, a back end that is not a model engine. It counts how often
// each request ID ran, so that tests can check that work runs at most once. The tests, the demo and the standin command
// use it.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// RequestIDHeader is the header with the request ID, in requests and responses.
const RequestIDHeader = "X-Request-Id"

// Service is a stand-in for a plain service. It is safe for concurrent use, and the zero value is ready to use.
type Service struct {
	mu       sync.Mutex
	delay    time.Duration  // run time of each call
	runs     map[string]int // number of runs by request ID
	bodyRuns map[string]int // number of runs by request body
}

// SetDelay sets the run time of each call, which is 0 at first.
func (s *Service) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.delay = d
}

// Runs returns how often a request with the given ID ran.
func (s *Service) Runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.runs[id]
}

// TotalRuns returns the number of runs of all requests together.
func (s *Service) TotalRuns() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	n := 0
	for _, v := range s.runs {
		n += v
	}

	return n
}

// Handler returns the HTTP interface. GET /requests/ID returns how often a request ran, with status 404 if it did not.
// The paths under /control are for tests, and a request to any other path runs a call.
func (s *Service) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /requests/{id}", s.handleLookup)
	m.HandleFunc("GET /control/counts", s.handleCounts)
	m.HandleFunc("PUT /control/delay", s.handleDelay)
	m.HandleFunc("/", s.handleCall)

	return m
}

const maxBodyBytes = 1 << 20

func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "the body is too large", http.StatusRequestEntityTooLarge)

		return
	}

	id := r.Header.Get(RequestIDHeader)

	time.Sleep(s.recordRun(id, string(b)))
	w.Header().Set(RequestIDHeader, id)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"path": r.URL.Path, "bytes": len(b), "run": s.Runs(id)})
}

// recordRun counts a run and returns the time that it takes.
func (s *Service) recordRun(id, body string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.runs == nil {
		s.runs, s.bodyRuns = map[string]int{}, map[string]int{}
	}

	s.runs[id]++
	s.bodyRuns[body]++

	return s.delay
}

func (s *Service) handleLookup(w http.ResponseWriter, r *http.Request) {
	n := s.Runs(r.PathValue("id"))
	if n == 0 {
		http.Error(w, "no such request", http.StatusNotFound)

		return
	}

	_ = json.NewEncoder(w).Encode(map[string]int{"runs": n})
}

func (s *Service) handleCounts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()

	_ = json.NewEncoder(w).Encode(map[string]any{"runs": s.runs, "bodies": s.bodyRuns})
}

func (s *Service) handleDelay(w http.ResponseWriter, r *http.Request) {
	d, err := time.ParseDuration(r.URL.Query().Get("d"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)

		return
	}

	s.SetDelay(d)
}
