package integration_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// scenarioOptions say what runs and fails in a crashScenario.
type scenarioOptions struct {
	length      time.Duration // time for which workers crash and jobs arrive
	crashes     bool          // workers crash whatever they run
	deadly      bool          // online requests and items with a part that crashes workers
	restarts    bool          // the slot owner is killed, and a daemon with jobs leaves; both start again
	jobs, items int

	coldTime, coldGap time.Duration // a worker that has started is slow for coldTime, with an event each coldGap
}

const (
	itemsPerPart = 4 // consecutive items of a job that share one more part
	// budgetCrashes, budgetDelay and budgetRequests bound the requests with a part that crashes workers: later than
	// budgetDelay after that many crashes, at most budgetRequests reach a worker.
	budgetCrashes  = 5
	budgetDelay    = 3 * time.Second
	budgetRequests = 3
)

// scenarioJob is a job of a scenario. Its sound items have no part that crashes workers.
type scenarioJob struct {
	id       string
	daemon   int // that is sent the job first
	sound    []promptItem
	bad      []promptItem
	accepted time.Time
}

// crashScenario is a seeded run of jobs beside crashes of workers, requests that cause them, and restarts of daemons.
type crashScenario struct {
	*crashFleet

	scenario scenarioOptions
	seed     uint64
	jobs     []*scenarioJob
	end      time.Time // of the disruption

	resultMu sync.Mutex
	wrong    []string        // online responses that look complete and are not those of their requests
	deadlyID map[string]bool // requests and items with the part that crashes workers
	statuses map[int]int     // of sound online requests, 0 for those without a response
}

func (c *crashScenario) rand(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(c.seed, stream)) //nolint:gosec // repeatable
}

// runScenario runs a scenario to the end of the disruption.
func runScenario(t *testing.T, seed uint64, o scenarioOptions) *crashScenario {
	t.Helper()

	deadly := ""
	if o.deadly {
		deadly = "bad"
	}

	c := &crashScenario{
		crashFleet: newCrashFleet(t, fleetOptions{
			daemons: 4, workers: 6, slots: 4, events: 16, gap: 60 * time.Millisecond, coldTime: o.coldTime, coldGap: o.coldGap,
			deadly: deadly, spread: 60 * time.Millisecond,
		}),
		scenario: o, seed: seed, deadlyID: map[string]bool{}, statuses: map[int]int{},
	}
	c.makeJobs()
	c.sendParts(c.daemons[0], "warm-up", "warm-up:50") // until a daemon owns the slots

	var wg, online sync.WaitGroup

	start := time.Now()

	for _, j := range c.jobs {
		wg.Go(func() { c.submitUntilAccepted(j, start) })
	}

	for client := range uint64(3) {
		online.Go(func() { c.sendOnline(client, start) })
	}

	if o.crashes {
		wg.Go(func() { c.crashWorkers(start) })
	}

	if o.restarts {
		c.restartDaemons(start)
	}

	wg.Wait()

	c.end = time.Now()
	if t := start.Add(o.length); c.end.Before(t) {
		c.end = t
	}

	online.Wait()

	for _, n := range c.daemons {
		c.waitReady(n)
	}

	return c
}

// makeJobs makes the jobs. With the option deadly, every other job has two items with the part that crashes workers.
func (c *crashScenario) makeJobs() {
	r := c.rand(1)

	for n := range c.scenario.jobs {
		j := &scenarioJob{id: fmt.Sprint("job-", n), daemon: r.IntN(len(c.daemons))}
		bad := map[int]bool{}

		if c.scenario.deadly && n%2 == 0 {
			bad[r.IntN(c.scenario.items)], bad[r.IntN(c.scenario.items)] = true, true
		}

		for k := range c.scenario.items {
			id := fmt.Sprint(j.id, "-", k)
			parts := fmt.Sprintf("route:100,%s:100,%s-part-%d:60", j.id, j.id, k/itemsPerPart)

			if bad[k] {
				c.deadlyID[id] = true
				j.bad = append(j.bad, promptItem{id, parts + ",bad:50," + id + ":50"})

				continue
			}

			j.sound = append(j.sound, promptItem{id, parts + "," + id + ":50"})
		}

		c.jobs = append(c.jobs, j)
	}
}

// submitUntilAccepted submits a job at its time, again at the next daemon until one accepts it, as clients do.
func (c *crashScenario) submitUntilAccepted(j *scenarioJob, start time.Time) {
	r := c.rand(100 + uint64(j.daemon) + uint64(len(j.id)))
	time.Sleep(time.Until(start.Add(time.Duration(r.Float64() * 0.7 * float64(c.scenario.length)))))

	for i := j.daemon; ; i++ {
		if c.submit(c.daemons[i%len(c.daemons)], j.id, append(j.sound[:len(j.sound):len(j.sound)], j.bad...)) {
			j.accepted = time.Now()

			return
		}

		time.Sleep(300 * time.Millisecond)
	}
}

// sendOnline sends online requests. A request that fails is sent again, with the same prompt and a new ID.
func (c *crashScenario) sendOnline(client uint64, start time.Time) {
	r := c.rand(200 + client)

	var wg sync.WaitGroup

	for n := 0; time.Since(start) < c.scenario.length; n++ {
		name := fmt.Sprintf("online-%d-%d", client, n)
		parts := fmt.Sprintf("route:100,session-%d:100", r.IntN(4))
		deadly := c.scenario.deadly && r.IntN(5) == 0
		first := r.IntN(len(c.daemons))

		if deadly {
			// It shares parts with the items of a job, too.
			parts = fmt.Sprintf("route:100,job-%d:100,bad:50", r.IntN(c.scenario.jobs))
		}

		wg.Go(func() {
			for attempt := range 3 {
				id := fmt.Sprint(name, "-", attempt)
				c.noteDeadly(id, deadly)

				a := c.sendParts(c.daemons[(first+attempt)%len(c.daemons)], id, parts+","+name+":50")
				if c.noteResponse(a, id, deadly) {
					return
				}

				time.Sleep(300 * time.Millisecond)
			}
		})

		time.Sleep(time.Duration(150+r.IntN(200)) * time.Millisecond)
	}

	wg.Wait()
}

func (c *crashScenario) noteDeadly(id string, deadly bool) {
	c.resultMu.Lock()
	defer c.resultMu.Unlock()

	if deadly {
		c.deadlyID[id] = true
	}
}

// noteResponse records the response to an online request and reports whether it is served.
func (c *crashScenario) noteResponse(a routedResponse, id string, deadly bool) bool {
	served := c.isServed(a, id)

	c.resultMu.Lock()
	defer c.resultMu.Unlock()

	if !deadly {
		c.statuses[a.status]++
	}

	if !served && a.status == http.StatusOK && a.complete {
		c.wrong = append(c.wrong, fmt.Sprintf("%s: response with status 200 and %d bytes", id, len(a.body)))
	}

	return served
}

// crashWorkers crashes workers whatever they run, up to four at once.
func (c *crashScenario) crashWorkers(start time.Time) {
	r := c.rand(300)

	for time.Since(start) < c.scenario.length {
		for _, k := range r.Perm(len(c.seats))[:1+r.IntN(4)] {
			c.seats[k].crash(r.IntN(2) == 0, maxAwayTime/4+time.Duration(r.Int64N(int64(maxAwayTime*3/4))))
		}

		time.Sleep(time.Duration(300+r.IntN(700)) * time.Millisecond)
	}
}

// restartDaemons kills the slot owner, and later makes a daemon with jobs leave, which hands them over. Both start again.
func (c *crashScenario) restartDaemons(start time.Time) {
	r := c.rand(400)
	at := func(share float64) {
		time.Sleep(time.Until(start.Add(time.Duration(share * float64(c.scenario.length)))))
	}

	owner := c.slotOwner()

	at(0.2 + 0.1*r.Float64())
	c.daemons[owner].kill()
	time.Sleep(time.Duration(500+r.IntN(1000)) * time.Millisecond)
	c.restart(c.daemons[owner])
	c.waitReady(c.daemons[owner])

	at(0.6 + 0.1*r.Float64())

	n := c.daemons[c.jobs[r.IntN(len(c.jobs))].daemon]
	n.signal(syscall.SIGTERM)
	<-n.exited
	c.restart(n)
	c.waitReady(n)
}

// restart starts a daemon again after it has exited.
func (f *crashFleet) restart(n *daemonProcess) {
	f.startDaemon(n)
	f.daemonProcesses = append(f.daemonProcesses, daemonRun{n.vm, n.process})
}

// openSoundItems waits until all sound items are listed as completed, at most for the time of a job and the time for
// which workers are away, counted from the end of the disruption. It returns the open ones and what is wrong.
func (c *crashScenario) openSoundItems() (open, wrong []string) {
	deadline := c.end.Add(runTarget + maxAwayTime)

	for i, j := range c.jobs {
		o, w := c.waitCompleted(c.daemons[i%len(c.daemons)], j.id, j.sound, deadline)
		open, wrong = append(open, o...), append(wrong, w...)
	}

	return open, append(wrong, c.wrong...)
}

// lateDeadlyRuns returns the number of requests with the part that crashes workers that reached one later than
// budgetDelay after budgetCrashes crashes.
func (c *crashScenario) lateDeadlyRuns() int {
	c.mu.Lock()
	l := append([]time.Time(nil), c.deadlyCrashes...)
	c.mu.Unlock()

	if len(l) < budgetCrashes {
		return 0
	}

	n := 0

	for _, b := range c.instances() {
		for _, r := range b.Runs() {
			if c.deadlyID[r.ID] && r.Start.After(l[budgetCrashes-1].Add(budgetDelay)) {
				n++
			}
		}
	}

	return n
}

// logState logs what the run has shown.
func (c *crashScenario) logState(open, wrong []string) {
	c.t.Logf("seed %d: instances of workers %d; crashes caused by prompts %d; late requests that cause crashes %d; statuses of sound online requests %v; time after the disruption %s; open: %s; wrong: %s\n%s",
		c.seed, len(c.instances()), len(c.deadlyCrashes), c.lateDeadlyRuns(), c.statuses, time.Since(c.end).Round(100*time.Millisecond),
		strings.Join(open, " "), strings.Join(wrong, "; "), c.quarantineLog())
}
