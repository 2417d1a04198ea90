package batches_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/agategap/agategap/batches"
	"github.com/agategap/agategap/internal/batch/waiting"
)

const (
	// maxUnexplained is the time for which an open item may be without an attempt and without a reason: the takeover time,
	// the load of a partition by a daemon that has just started, and some passes of a runner on a busy machine.
	maxUnexplained = takeoverTime + 2*time.Second
	// maxServingTime is the time within which all items are listed once the chain serves: the longest delay before the
	// next attempt, which a quarantine causes, a takeover and the run of the items on a busy machine.
	maxServingTime = takeoverTime + 15*time.Second
)

// step is one step of a scenario.
type step struct {
	kind   string
	daemon int
	items  int   // of a job that is submitted
	weight []int // of the behaviors of attempts
	pause  time.Duration
}

func (s step) String() string { return fmt.Sprint(s.kind, s.daemon, s.items, s.weight, s.pause) }

// scenario is a sequence of steps in a cluster.
type scenario struct {
	daemons, partitions, events int
	logFaults, callFaults       bool
	steps                       []step
}

var scenarios = rapid.Custom(func(t *rapid.T) scenario {
	all := scenario{
		daemons: rapid.IntRange(2, 5).Draw(t, "daemons"), partitions: rapid.IntRange(1, 3).Draw(t, "partitions"),
		events: rapid.IntRange(2, 30).Draw(t, "events"), logFaults: rapid.Bool().Draw(t, "log faults"), callFaults: rapid.Bool().Draw(t, "call faults"),
	}

	step := rapid.Custom(func(t *rapid.T) step {
		s := step{
			kind:   rapid.SampledFrom([]string{"submit", "submit", "crash", "leave", "restart", "restart", "chain", "chain", "truncate", "log", "cut", "reconnect", "settle"}).Draw(t, "kind"),
			daemon: rapid.IntRange(0, all.daemons-1).Draw(t, "daemon"),
			items:  rapid.SampledFrom([]int{1, 3, 20, 70}).Draw(t, "items"),
			weight: rapid.SliceOfN(rapid.IntRange(0, 5), int(behaviorCount), int(behaviorCount)).Draw(t, "weights"),
			pause:  time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond,
		}

		// Partitions that are assigned to other daemons are dropped after 5 s.
		if s.kind == "settle" {
			s.pause = 6 * time.Second
		}

		return s
	})
	all.steps = rapid.SliceOfN(step, 8, 24).Draw(t, "steps")

	return all
})

// openItems checks that each open item of the accepted jobs has an attempt at a target, or a reason for having none.
type openItems struct {
	cluster  *cluster
	observer *daemon // follows the log and runs nothing
	jobs     map[string]int
	fine     map[string]time.Time // when an item was last found with an attempt or a reason
}

// listed returns the items of a job that have a result.
func (o *openItems) listed(job string) map[string]bool {
	m := map[string]bool{}

	for from := 0; ; {
		ctx, stop := context.WithTimeout(context.Background(), time.Second)
		p, err := o.observer.Results(ctx, job, from, maxPageBytes, 0)

		stop()

		if err != nil || len(p.Results()) == 0 {
			return m
		}

		for _, r := range p.Results() {
			m[r.Item()] = true
		}

		from = p.NextPosition()
	}
}

// check returns the items that have been without an attempt and a reason for maxUnexplained, and the number of open
// items.
func (o *openItems) check(now time.Time) (unexplained []string, open int) {
	live := o.cluster.live()

	for job, n := range o.jobs {
		listed := o.listed(job)

		for i := range n {
			item := fmt.Sprint(job, "-", i)
			if listed[item] {
				continue
			}

			open++

			var seen []string

			fine := o.cluster.chain.isRunning(item)
			for _, p := range live {
				c, ok := p.runner.Explain(job, item)
				seen = append(seen, fmt.Sprint(p.self.VM, "=", ok, " ", c.Reason(), " ", c.VM()))
				fine = fine || ok && isReason(c.Reason())
			}

			if _, ok := o.fine[item]; fine || !ok {
				o.fine[item] = now
			}

			if d := now.Sub(o.fine[item]); d > maxUnexplained {
				unexplained = append(unexplained, fmt.Sprint(item, " for ", d, ": ", strings.Join(seen, ", ")))
			}
		}
	}

	return unexplained, open
}

// isReason reports whether a reason at the daemon that runs the job explains that nothing works on an item.
func isReason(r waiting.Reason) bool {
	switch r {
	case waiting.NotTried, waiting.OtherRunner, waiting.Leaving, waiting.Published:
		return false
	default:
		return true
	}
}

// wait checks for a time, or until no item is open if untilDone is set. It returns the number of open items, and fails with
// the first items that are unexplained.
func (o *openItems) wait(d time.Duration, untilDone bool) (int, error) {
	for end := time.Now().Add(d); ; {
		l, open := o.check(time.Now())
		if len(l) > 0 {
			return open, fmt.Errorf("%d of %d open items have neither an attempt nor a reason: %s", len(l), open, l[0])
		}

		if open == 0 && untilDone || time.Now().After(end) {
			return open, nil
		}

		time.Sleep(20 * time.Millisecond)
	}
}

// play plays a scenario. Then it lets the chain serve, and waits for the results of all items.
func (s scenario) play(seed uint64) error {
	random := func(n uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, n)) }
	l := newMemoryLog()

	if s.logFaults {
		r := random(1)
		l.faults = func() fault { return fault(pickWeighted(r, []int{60, 4, 4, 4, 4})) }
	}

	c := newCluster(l, s.partitions, newFaultyChain(s.events, 5*time.Millisecond, random(2)), random(3))
	c.faulty = s.callFaults

	for n := range s.daemons {
		c.start(n)
	}

	defer c.shutDown()

	o := &openItems{cluster: c, observer: startDaemonWithLimits(l, c.limits, 99), jobs: map[string]int{}, fine: map[string]time.Time{}}
	defer o.observer.shutDown()

	for n, x := range s.steps {
		s.apply(x, n, o)

		if _, err := o.wait(x.pause, false); err != nil {
			return fmt.Errorf("after step %d (%v): %w", n, x, err)
		}
	}

	l.setDown(false)
	c.reconnect()
	c.chain.setWeights([]int{completes: 1, behaviorCount - 1: 0})

	switch open, err := o.wait(maxServingTime, true); {
	case err != nil:
		return fmt.Errorf("after the chain serves: %w", err)
	case open > 0:
		return fmt.Errorf("%d items are open %v after the chain serves: %v", open, maxServingTime, o.explain())
	default:
		return nil
	}
}

// explain returns what the live daemons know of the first three open items.
func (o *openItems) explain() []string {
	var l []string

	shown := 0

	for job, n := range o.jobs {
		listed := o.listed(job)

		for i := range n {
			item := fmt.Sprint(job, "-", i)
			if listed[item] || shown == 3 {
				continue
			}

			shown++

			for _, p := range o.cluster.live() {
				c, ok := p.runner.Explain(job, item)
				l = append(l, fmt.Sprint(item, " ", p.self.VM, "=", ok, " ", c.Reason(), " ", c.VM(), " ", c.Code()))
			}
		}
	}

	return l
}

// submit submits a job to the live daemons until one of those that follow its partition has accepted it.
func (o *openItems) submit(id string, x step) {
	l := o.cluster.live()

	for k := range l {
		d := l[(k+x.daemon)%len(l)].daemon
		if !d.IsFollowing(id) {
			continue
		}

		ctx, stop := context.WithTimeout(context.Background(), time.Second)
		err := d.Submit(ctx, newJob(id, x.items))

		stop()

		if err == nil {
			o.jobs[id] = x.items

			return
		}
	}
}

// apply applies step n of a scenario.
func (s scenario) apply(x step, n int, o *openItems) {
	c := o.cluster

	switch x.kind {
	case "submit":
		o.submit(fmt.Sprint("j", n), x)
	case "crash":
		c.end(x.daemon, false)
	case "leave":
		c.end(x.daemon, true)
	case "restart":
		c.restart(x.daemon)
	case "chain":
		w := append([]int(nil), x.weight...)
		w[completes]++
		c.chain.setWeights(w)
	case "cut":
		c.cut(x.daemon, true)
	case "reconnect":
		c.reconnect()
	case "truncate":
		c.log.truncate()
	case "log":
		c.log.setDown(true)
		time.AfterFunc(x.pause, func() { c.log.setDown(false) })
	}
}

// Guards against items of open jobs that nothing works on, and of which no daemon knows why (issue 34, hypothesis 3):
// attempts complete, break off, fail, are preempted, get no slot or are rejected because of a quarantine, while daemons
// crash, leave, hand over jobs and start, and the log fails. Each scenario has its own seed; with -rapid.seed N and
// -rapid.checks K the seeds are N to N+K-1.
func TestOpenItemsHaveAnAttemptOrAReason(t *testing.T) {
	seed, err := strconv.Atoi(flag.Lookup("rapid.seed").Value.String())
	if err != nil {
		t.Fatal(err)
	}

	checks, err := strconv.Atoi(flag.Lookup("rapid.checks").Value.String())
	if err != nil {
		t.Fatal(err)
	}

	// The scenarios wait most of the time.
	const parallel = 25

	limit := make(chan struct{}, parallel)

	for k := range checks {
		t.Run(fmt.Sprint(seed+k), func(t *testing.T) {
			t.Parallel()

			limit <- struct{}{}
			defer func() { <-limit }()

			s := scenarios.Example(seed + k)
			if err := s.play(uint64(seed + k)); err != nil { //nolint:gosec // a seed
				t.Errorf("%v\n%+v", err, s)
			}
		})
	}
}

var _ batches.Peers = (*process)(nil)
