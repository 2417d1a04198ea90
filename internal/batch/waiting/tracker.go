package waiting

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/agategap/agategap/shard"
)

const (
	// minReportAge is the time without an attempt after which an item gets a log line. Ordinary waits for a slot end
	// before.
	minReportAge = time.Second
	// minReportGap is the shortest time between two lines of an item, whose reason may change many times a second.
	minReportGap = time.Second
	// firstRepeat and maxRepeat bound the time after which an item with an unchanged reason gets another line. It doubles
	// with each one.
	firstRepeat = 10 * time.Second
	maxRepeat   = 80 * time.Second
	// summaryInterval is the time between two lines of a job that has items that wait.
	summaryInterval = 5 * time.Second
	// maxShardItems bounds the items that a shard tracks; further ones are only counted. The state of an item takes some
	// 300 bytes, so that all shards stay below 3 MB.
	maxShardItems = 1000
	shardCount    = 8
)

// Tracker keeps the causes for which items wait and the decisions about who runs jobs. The zero value is ready to use. It
// is safe for concurrent use.
type Tracker struct {
	shards [shardCount]trackerShard
}

// trackerShard has the jobs of one shard.
type trackerShard struct {
	mu        sync.Mutex
	jobs      map[string]*jobState
	itemCount int
}

// jobState is the state of one job.
type jobState struct {
	run        Run
	vm         string
	seen       time.Time
	items      map[string]*itemState
	pass       Counts // of the pass in progress
	last       Counts // of the last pass
	overdue    bool   // an item of the pass in progress has waited for minReportAge
	summarized time.Time
}

// itemState is the state of one item that waits.
type itemState struct {
	cause      Cause
	idleSince  time.Time
	seen       time.Time
	reported   Cause
	reportedAt time.Time     // zero before the first line
	repeat     time.Duration // until the next line with the same reason
}

// Counts has the number of items that wait, by reason.
type Counts [reasonCount]int

// Of returns the number of items that wait for a reason.
func (c Counts) Of(r Reason) int { return c[r] }

// Total returns the number of all items that wait.
func (c Counts) Total() int {
	n := 0
	for _, k := range c {
		n += k
	}

	return n
}

func (t *Tracker) shard(job string) *trackerShard { return &t.shards[shard.Index(job, shardCount)] }

// job returns the state of a job. The caller holds mu.
func (h *trackerShard) job(id string) *jobState {
	j, ok := h.jobs[id]
	if !ok {
		if h.jobs == nil {
			h.jobs = map[string]*jobState{}
		}

		j = &jobState{items: map[string]*itemState{}}
		h.jobs[id] = j
	}

	return j
}

// ObserveRun records the decision who runs a job, with the VM of that daemon, and reports whether it has changed.
func (t *Tracker) ObserveRun(job string, d Run, vm string, now time.Time) bool {
	h := t.shard(job)

	h.mu.Lock()
	defer h.mu.Unlock()

	j := h.job(job)
	j.seen = now

	if j.run == d && j.vm == vm {
		return false
	}

	j.run, j.vm = d, vm

	return true
}

// Observe records that an item waits, the cause, and the time since when it has had no attempt at a target. It returns
// Changed if the item has waited for long enough and its reason is new, Repeated if it is due for another line, and
// otherwise Quiet.
func (t *Tracker) Observe(job, item string, c Cause, idleSince, now time.Time) Report {
	h := t.shard(job)

	h.mu.Lock()
	defer h.mu.Unlock()

	j := h.job(job)
	j.seen = now
	j.pass[c.reason]++
	j.overdue = j.overdue || now.Sub(idleSince) >= minReportAge

	s, ok := j.items[item]
	if !ok {
		if h.itemCount >= maxShardItems {
			return Quiet
		}

		h.itemCount++

		s = &itemState{}
		j.items[item] = s
	}

	s.cause, s.seen = c, now

	if !s.idleSince.Equal(idleSince) {
		s.idleSince, s.reportedAt = idleSince, time.Time{}
	}

	return s.report(now)
}

// Report tells whether an item that waits is worth a log line.
type Report uint8

// Reports.
const (
	Quiet Report = iota
	Changed
	Repeated
)

// report decides whether the item gets a line, and records that it does.
func (s *itemState) report(now time.Time) Report {
	r := Repeated

	switch {
	case now.Sub(s.idleSince) < minReportAge:
		return Quiet
	case s.reportedAt.IsZero():
		r, s.repeat = Changed, firstRepeat
	case now.Sub(s.reportedAt) < minReportGap:
		return Quiet
	case !s.cause.sameKind(s.reported):
		r, s.repeat = Changed, firstRepeat
	case now.Sub(s.reportedAt) < s.repeat:
		return Quiet
	default:
		s.repeat = min(maxRepeat, 2*s.repeat) //nolint:mnd // exponential
	}

	s.reported, s.reportedAt = s.cause, now

	return r
}

// Summary has the counts of a job's items that wait.
type Summary struct {
	job    string
	counts Counts
	run    Run
	closed bool
}

// Job returns the identifier of the job.
func (s Summary) Job() string { return s.job }

// Counts returns the number of items that wait, by reason.
func (s Summary) Counts() Counts { return s.counts }

// Run returns the decision who runs the job; the last one if the job is closed.
func (s Summary) Run() Run { return s.run }

// IsClosed reports whether the job was not observed in the pass, so that its state is forgotten.
func (s Summary) IsClosed() bool { return s.closed }

// EndPass ends a pass over all open jobs that began at start. It forgets the items and jobs that were not observed since,
// and returns the forgotten jobs and the jobs that are due for a line with their counts, ordered by identifier.
func (t *Tracker) EndPass(start, now time.Time) []Summary {
	var l []Summary

	for i := range t.shards {
		h := &t.shards[i]

		h.mu.Lock()
		for id, j := range h.jobs {
			if s, ok := h.endJobPass(id, j, start, now); ok {
				l = append(l, s)
			}
		}
		h.mu.Unlock()
	}

	slices.SortFunc(l, func(a, b Summary) int { return cmp.Compare(a.job, b.job) })

	return l
}

// endJobPass ends a pass over one job. It returns the job's summary if it is closed or due for a line. The caller holds mu.
func (h *trackerShard) endJobPass(id string, j *jobState, start, now time.Time) (Summary, bool) {
	for n, s := range j.items {
		if s.seen.Before(start) {
			delete(j.items, n)
			h.itemCount--
		}
	}

	if j.seen.Before(start) {
		delete(h.jobs, id)

		return Summary{job: id, run: j.run, closed: true}, true
	}

	due := j.overdue && now.Sub(j.summarized) >= summaryInterval
	if due {
		j.summarized = now
	}

	j.last, j.pass, j.overdue = j.pass, Counts{}, false

	return Summary{job: id, counts: j.last, run: j.run}, due
}

// Item is an item that waits.
type Item struct {
	job       string
	id        string
	cause     Cause
	idleSince time.Time
}

// Job returns the identifier of the item's job.
func (i Item) Job() string { return i.job }

// ID returns the identifier of the item.
func (i Item) ID() string { return i.id }

// Cause returns the cause of the last pass.
func (i Item) Cause() Cause { return i.cause }

// IdleSince returns the time since when the item has had no attempt at a target.
func (i Item) IdleSince() time.Time { return i.idleSince }

// Longest returns the tracked items that have waited for the longest time, at most n, and the counts of all jobs in the
// last pass.
func (t *Tracker) Longest(n int) ([]Item, Counts) {
	var (
		l []Item
		c Counts
	)

	for i := range t.shards {
		h := &t.shards[i]

		h.mu.Lock()
		for id, j := range h.jobs {
			for k, v := range j.last {
				c[k] += v
			}

			for k, s := range j.items {
				l = append(l, Item{job: id, id: k, cause: s.cause, idleSince: s.idleSince})
			}
		}
		h.mu.Unlock()
	}

	slices.SortFunc(l, func(a, b Item) int {
		return cmp.Or(a.idleSince.Compare(b.idleSince), cmp.Compare(a.job, b.job), cmp.Compare(a.id, b.id))
	})

	return l[:min(n, len(l))], c
}
