package store

import (
	"encoding/json"
	"maps"
	"slices"
	"time"
)

// Route is a route of the configuration that the operator writes. A codec writes the fields.
type Route struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	Prefix      string `json:"path_prefix"`
	Kind        string `json:"kind"`
	Service     string `json:"service"`
	TimeoutMS   int64  `json:"timeout_ms"`
	ObjectiveMS int64  `json:"latency_slo_ms"`
	PauseMS     int64  `json:"gap_aim_ms"`
	Attempts    int    `json:"max_attempts"`
	Resumable   bool   `json:"resumable"`
	RunMS       int64  `json:"run_target_ms,omitempty"`
	RetainS     int64  `json:"retention_s,omitempty"`
}

// maxBodyBytes is the bound of bodies in the configurations of the stand-in.
const maxBodyBytes = 4 << 20

// PutConfig writes a version of the configuration, as the operator does.
func (s *Store) PutConfig(version int, l []Route) error {
	b, err := json.Marshal(map[string]any{"version": version, "routes": l, "limits": map[string]int{"max_body_bytes": maxBodyBytes}})
	if err != nil {
		return err
	}

	s.Put("keyed.op", "config", b)

	return nil
}

// Registration is the entry of a worker. A codec writes the fields.
type Registration struct {
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Version string `json:"version"`
	Slots   int    `json:"slots"`
	State   string `json:"state"` // Ready or Draining
	Born    int64  `json:"born"`
	Number  int64  `json:"seq_no"`
}

// States of an entry.
const (
	Ready    = "ready"
	Draining = "draining"
)

// PutRegistrations replaces the entries of all workers, by id.
func (s *Store) PutRegistrations(l map[string]Registration) error {
	for _, id := range s.keys(registrationsTopic) {
		if _, ok := l[id]; !ok {
			s.Put(registrationsTopic, id, nil)
		}
	}

	for id, e := range l {
		if err := s.PutRegistration(id, e); err != nil {
			return err
		}
	}

	return nil
}

// keys returns the keys of a topic.
func (s *Store) keys(topic string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()

	return slices.Collect(maps.Keys(s.partition(topic, "0").newest))
}

const registrationsTopic = "keyed.servers"

// PutRegistration writes the entry of a worker, as it does itself.
func (s *Store) PutRegistration(id string, e Registration) error {
	e.Version, e.Born, e.Number = "v1", 1, time.Now().UnixMilli()

	b, err := json.Marshal(e)
	if err != nil {
		return err
	}

	s.Put(registrationsTopic, id, b)

	return nil
}
