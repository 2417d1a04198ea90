package store

import (
	"encoding/json"
	"maps"
	"slices"
	"time"
)

// Route is a route in the configuration that the platform's operator writes. Its fields are exported for the JSON
// encoder. Fields with MS are in milliseconds, RetainS is in seconds.
type Route struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	Prefix      string `json:"path_prefix"`
	Kind        string `json:"kind"` // streaming or batch
	Service     string `json:"service"`
	TimeoutMS   int64  `json:"timeout_ms"`
	ObjectiveMS int64  `json:"latency_slo_ms"`          // objective for the time to the first event
	PauseMS     int64  `json:"gap_aim_ms"`              // objective for the time between two events
	Attempts    int    `json:"max_attempts"`            // greatest number of attempts of a request
	Resumable   bool   `json:"resumable"`               // a stream may be resumed at another worker
	RunMS       int64  `json:"run_target_ms,omitempty"` // batch: time until all results are due
	RetainS     int64  `json:"retention_s,omitempty"`   // batch: time after which an item may be given up
}

// maxBodyBytes is the bound on request bodies in the configurations that PutConfig writes.
const maxBodyBytes = 4 << 20

// PutConfig writes a version of the configuration, as the platform's operator does.
func (s *Store) PutConfig(version int, l []Route) error {
	b, err := json.Marshal(map[string]any{"version": version, "routes": l, "limits": map[string]int{"max_body_bytes": maxBodyBytes}})
	if err != nil {
		return err
	}

	s.Put("keyed.op", "config", b)

	return nil
}

// Registration is the registration of a worker. Its fields are exported for the JSON encoder.
type Registration struct {
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"` // failure domain
	Version string `json:"version"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`  // Ready or Draining
	Born    int64  `json:"born"`   // start of the worker in Unix milliseconds
	Number  int64  `json:"seq_no"` // sequence number of the registration
}

// States of a worker in its registration.
const (
	Ready    = "ready"
	Draining = "draining" // the worker is leaving and gets no new work
)

// PutRegistrations replaces the registrations of all workers by those in the map, whose keys are worker IDs. It deletes
// the registrations of other workers.
func (s *Store) PutRegistrations(l map[string]Registration) error {
	for _, id := range s.keys(registrationsTopic) {
		if _, ok := l[id]; !ok {
			s.Put(registrationsTopic, id, nil)
		}
	}

	for id, r := range l {
		if err := s.PutRegistration(id, r); err != nil {
			return err
		}
	}

	return nil
}

// keys returns the keys that have a record in a keyed topic, in no particular order.
func (s *Store) keys(topic string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()

	return slices.Collect(maps.Keys(s.partition(topic, "0").newest))
}

const registrationsTopic = "keyed.servers"

// PutRegistration writes the registration of a worker, as the worker itself does. It overwrites Version and Born with
// constants, and Number with the present time in milliseconds.
func (s *Store) PutRegistration(id string, r Registration) error {
	r.Version, r.Number = "v1", time.Now().UnixMilli()
	r.Born = max(r.Born, 1) // a worker without a start is not one to use

	b, err := json.Marshal(r)
	if err != nil {
		return err
	}

	s.Put(registrationsTopic, id, b)

	return nil
}

// DeleteRegistration deletes the registration of a worker, as the platform does when a worker has written none for a
// time.
func (s *Store) DeleteRegistration(id string) { s.Put(registrationsTopic, id, nil) }
