package driver_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)

	return &recorder{f: f, start: time.Now()}, err
}

func (r *recorder) line(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.f, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, a...))
}

// job is a batch job of the client.
type job struct {
	id       string
	prefix   string // of the route
	items    []string
	body     []byte // of the call that submits it
	accepted time.Time
	read     map[int]string // item and state of each position that was read
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// newJob returns a job for the route with a prefix, with items whose bodies have the given size.
func newJob(prefix string, items, bodyBytes int) *job {
	j := &job{id: newID(), prefix: prefix, read: map[int]string{}}
	var l []map[string]any
	for range items {
		id := newID()
		b := make([]byte, bodyBytes)
		for i := range b {
			b[i] = byte(rand.Uint32())
		}
		j.items = append(j.items, id)
		l = append(l, map[string]any{
			"id": id, "path": prefix + "3/" + id[:4], "body": b, "tokens": 450,
			"headers": map[string]string{"Model": "m", "Token-Usage": "350,100", "Prompt-Prefix": "9c2e41:100," + id[:6] + ":250"},
		})
	}
	j.body, _ = json.Marshal(map[string]any{"items": l})

	return j
}

// call makes one call on a new channel. Status 0 means that there was no answer.
func call(d *daemon, method, path, host string, h map[string]string, body []byte, timeout time.Duration) (int, http.Header, []byte) {
	t := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer t.CloseIdleConnections()
	r, err := http.NewRequest(method, "http://"+d.front+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil
	}
	r.Host = host
	for k, v := range h {
		r.Header.Set(k, v)
	}
	a, err := (&http.Client{Transport: t, Timeout: timeout}).Do(r)
	if err != nil {
		return 0, nil, nil
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		return 0, nil, nil
	}

	return a.StatusCode, a.Header, b
}

// submit submits a job as the platform's clients do: after a failure it comes again at the next daemon, after Retry-After
// up to a third of the time left. It reports whether it was accepted.
func (s *system) submit(j *job, daemons []*daemon, limit time.Duration, attempts int) bool {
	end := time.Now().Add(limit)
	for n := range attempts {
		left := time.Until(end)
		if left <= 0 {
			return false
		}
		d := daemons[n%len(daemons)]
		status, h, _ := call(d, http.MethodPost, j.prefix+j.id[:6], jobHost, map[string]string{"Request-Id": j.id, "Content-Type": "application/json"}, j.body, left)
		s.rec.line("job %s (%d items, %d bytes) submitted at %s: %s Retry-After %q", j.id, len(j.items), len(j.body), d.name, statusText(status), h.Get("Retry-After"))
		if status == http.StatusAccepted {
			j.accepted = time.Now()

			return true
		}
		wait, _ := strconv.ParseFloat(h.Get("Retry-After"), 64)
		time.Sleep(min(time.Duration(wait*float64(time.Second)), time.Until(end)/3))
	}

	return false
}

func statusText(n int) string {
	if n == 0 {
		return "no answer"
	}

	return strconv.Itoa(n)
}

type page struct {
	Total   int `json:"total"`
	Next    int `json:"next"`
	Results []struct {
		ID    string `json:"id"`
		State string `json:"state"`
		Text  string `json:"text"`
	} `json:"results"`
}

// results reads results from a position on.
func (s *system) results(d *daemon, j *job, after int, wait time.Duration) (int, page) {
	h := map[string]string{}
	if wait > 0 {
		h["Wait-Ms"] = strconv.FormatInt(wait.Milliseconds(), 10)
	}
	status, _, b := call(d, http.MethodGet, "/lots/"+j.id+"?after="+strconv.Itoa(after), jobHost, h, nil, wait+4*time.Second)
	var p page
	if status == http.StatusOK {
		_ = json.Unmarshal(b, &p)
	}

	return status, p
}

// follow reads all results of a job, half a second apart, at the given daemons in turn.
func (s *system) follow(j *job, daemons []*daemon, limit time.Duration) bool {
	next := 0
	for n, end := 0, time.Now().Add(limit); time.Now().Before(end) && next < len(j.items); n++ {
		status, p := s.results(daemons[n%len(daemons)], j, next, time.Second)
		for i, v := range p.Results {
			j.read[next+i] = v.ID + " " + v.State
		}
		next += len(p.Results)
		if status != http.StatusOK || len(p.Results) == 0 {
			time.Sleep(100 * time.Millisecond)
		}
	}
	s.rec.line("job %s: %d of %d results were read", j.id, next, len(j.items))

	return next == len(j.items)
}
