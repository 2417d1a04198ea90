package driver_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/agategap/agategap/standin/worker"
)

const (
	// deadlyPart is the part of a prompt that crashes each worker that begins to write an answer on it.
	deadlyPart = "dead00bad"
	// sharedPart is the first part of all prompts of the route.
	sharedPart = "5c1e07a2"
	// downTime is how long a crashed worker is away.
	downTime = 3 * time.Second
	// budgetRequests is the number of requests with the part that may reach workers later than stable_window_ms after the
	// fifth crash.
	budgetRequests = 3
)

// crashingWorker is a worker that crashes when it has written the first event of an answer on deadlyPart.
type crashingWorker struct {
	rec     *recorder
	k       *worker.Worker
	address string
	mu      sync.Mutex
	server  *http.Server
	crashes *crashLog
}

// crashLog has the times of the crashes of all workers, and of the requests with deadlyPart that reached them.
type crashLog struct {
	mu       sync.Mutex
	crashes  []time.Time
	arrivals []time.Time
}

func (c *crashingWorker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l := strings.Split(r.Header.Get("Prompt-Prefix"), ",")
	for _, p := range l[:len(l)-1] {
		if strings.HasPrefix(p, deadlyPart+":") {
			c.crash(w, r)
		}
	}
	c.k.Handler().ServeHTTP(w, r)
}

func (c *crashingWorker) crash(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	c.crashes.mu.Lock()
	c.crashes.arrivals = append(c.crashes.arrivals, time.Now())
	c.crashes.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	w.Header().Set("Request-Id", id)
	w.Header().Set("Server-Signature", "d."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = fmt.Fprint(w, worker.EncodeEvent(id, 1))
	_ = http.NewResponseController(w).Flush()

	c.mu.Lock()
	defer c.mu.Unlock()
	if c.server != nil {
		_ = c.server.Close()
		c.server = nil
		c.crashes.mu.Lock()
		c.crashes.crashes = append(c.crashes.crashes, time.Now())
		n := len(c.crashes.crashes)
		c.crashes.mu.Unlock()
		c.rec.line("crash %d: worker at %s, by request %s", n, c.address, id)
		time.AfterFunc(downTime, c.listen)
	}
	panic(http.ErrAbortHandler)
}

func (c *crashingWorker) listen() {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, err := net.Listen("tcp", c.address)
	if err != nil {
		return
	}
	c.server = &http.Server{Handler: c, ReadHeaderTimeout: time.Minute}
	go func(v *http.Server) { _ = v.Serve(l) }(c.server)
}

// deadly sends requests of which a few have a part that crashes workers.
func deadly(rec *recorder, trouble bool) (bool, error) {
	s, err := newSystem(rec, 1, 0, worker.Options{})
	if err != nil {
		return false, err
	}
	defer closeSystem()

	log := &crashLog{}
	var crashing []*crashingWorker
	for i := range 9 {
		o := worker.Options{ID: fmt.Sprintf("i-%08x", 0x11+i), Slots: 8, Queue: 24, Events: 28, Gap: 10 * time.Millisecond}
		a, err := s.freeAddress()
		if err != nil {
			return false, err
		}
		c := &crashingWorker{rec: rec, k: worker.New(o), address: a, crashes: log}
		crashing = append(crashing, c)
		s.mu.Lock()
		s.workers = append(s.workers, &workerState{id: o.ID, address: c.address, zone: zones[i%len(zones)], service: serviceName, server: &http.Server{}, slots: o.Slots, born: time.Now().UnixMilli(), w: c.k})
		s.mu.Unlock()
	}
	s.release()
	for _, c := range crashing {
		c.listen()
	}
	s.register()
	s.configure(serviceName)
	if err := s.startAll(); err != nil {
		return false, err
	}

	var (
		mu    sync.Mutex
		count = map[string]int{}
		wg    sync.WaitGroup
	)
	send := func(kind, parts string) {
		id := newID()
		body := strings.Repeat("a", 1500)
		status, _, b := call(s.daemons[rand.IntN(len(s.daemons))], http.MethodPost, "/note/"+id[:4], streamHost, map[string]string{
			"Request-Id": id, "Model": "m", "Token-Usage": "450,40", "Prompt-Prefix": parts + "," + id[:8] + ":250", "Deadline-Ms": "5000",
		}, []byte(body), 5*time.Second)
		mu.Lock()
		defer mu.Unlock()
		count[fmt.Sprintf("%s: %s, %d events", kind, statusText(status), strings.Count(string(b), "\n\n"))]++
	}
	end := time.Now().Add(30 * time.Second)
	wg.Go(func() {
		for time.Now().Before(end) {
			time.Sleep(rand.N(100 * time.Millisecond))
			wg.Go(func() { send("sound", sharedPart+":200,"+newID()[:2]+":50") })
		}
	})
	if trouble {
		wg.Go(func() {
			for time.Now().Before(end) {
				time.Sleep(rand.N(2 * time.Second))
				wg.Go(func() { send("with the part", sharedPart+":200,"+deadlyPart+":50") })
			}
		})
	}
	wg.Wait()

	log.mu.Lock()
	defer log.mu.Unlock()
	late := 0
	if len(log.crashes) >= 5 {
		for _, t := range log.arrivals {
			if t.After(log.crashes[4].Add(stableTime)) {
				late++
			}
		}
	}
	for k, n := range count {
		rec.line("%d requests %s", n, k)
	}
	rec.line("%d crashes; %d requests with the part reached workers, %d of them later than %v after the fifth crash", len(log.crashes), len(log.arrivals), late, stableTime)
	if count["sound: 200, 28 events"] == 0 {
		return false, errors.New("no sound request was served")
	}

	return late > budgetRequests, nil
}
