// Package batch has the state of batch jobs as their records in a keyed stream tell it, and makes these records. A
// record is appended on the condition that the stream ends where the replica does, so that a job is accepted once, an
// item is listed once and every replica lists it at the same position. The package does no input or output.
package batch

import (
	"cmp"
	"slices"
	"time"
)

// Item is one piece of work of a job.
type Item struct {
	id     string
	path   string
	header map[string][]string
	body   []byte
	tokens int
}

// NewItem returns an item: a request to a path with a header and a body, of a size in tokens.
func NewItem(id, path string, header map[string][]string, body []byte, tokens int) Item {
	return Item{id: id, path: path, header: header, body: body, tokens: tokens}
}

// ID returns the identifier.
func (i Item) ID() string { return i.id }

// Path returns the path at the target.
func (i Item) Path() string { return i.path }

// Header returns the header, which must not be changed.
func (i Item) Header() map[string][]string { return i.header }

// Body returns the body, which must not be changed.
func (i Item) Body() []byte { return i.body }

// Tokens returns the size in tokens.
func (i Item) Tokens() int { return i.tokens }

// Runner is the process that runs a job while it is live.
type Runner struct {
	vm    string
	start int64
}

// NewRunner returns the process of a VM that started at a time in Unix milliseconds.
func NewRunner(vm string, start int64) Runner { return Runner{vm: vm, start: start} }

// VM returns the name of the VM.
func (r Runner) VM() string { return r.vm }

// Start returns the start of the process, in Unix milliseconds.
func (r Runner) Start() int64 { return r.start }

// Submission is a job as a caller submits it.
type Submission struct {
	id, host, path string
	items          []Item
	at             time.Time
	within, retain time.Duration
	runner         Runner
}

// NewSubmission returns a job that was submitted to a path at a host.
func NewSubmission(id, host, path string, items []Item) Submission {
	return Submission{id: id, host: host, path: path, items: items}
}

// Timed returns a copy that is accepted at a time, due within one time and given up after another.
func (s Submission) Timed(at time.Time, within, retain time.Duration) Submission {
	s.at, s.within, s.retain = at, within, retain

	return s
}

// RunBy returns a copy that a process runs while it is live.
func (s Submission) RunBy(r Runner) Submission {
	s.runner = r

	return s
}

// ID returns the identifier of the job.
func (s Submission) ID() string { return s.id }

// Host returns the host that the job was submitted to.
func (s Submission) Host() string { return s.host }

// Path returns the path that the job was submitted to.
func (s Submission) Path() string { return s.path }

// Items returns the items, which must not be changed.
func (s Submission) Items() []Item { return s.items }

// At returns the time at which the job is accepted.
func (s Submission) At() time.Time { return s.at }

// Within returns the time after which all results are due.
func (s Submission) Within() time.Duration { return s.within }

// Retain returns the time after which items may be given up.
func (s Submission) Retain() time.Duration { return s.retain }

// Result is an item that is listed.
type Result struct {
	item string
	done bool
	text string
}

// NewResult returns the result of an item: its text, or that it was given up.
func NewResult(item, text string, done bool) Result {
	return Result{item: item, text: text, done: done}
}

// Item returns the identifier of the item.
func (r Result) Item() string { return r.item }

// Done reports whether the item was completed, or else given up.
func (r Result) Done() bool { return r.done }

// Text returns the text of a completed item.
func (r Result) Text() string { return r.text }

// job is a job in a replica.
type job struct {
	id      string
	record  jobRecord
	items   []Item // none once the job has ended
	index   map[string]int
	results []Result
	listed  map[string]bool
	fails   map[string]int
	parts   map[int]int // records of the long texts, by position
	saved   map[string]*saved
	ended   bool
	changed chan struct{}
}

// saved is the progress of an item that the log has.
type saved struct {
	Progress

	from []int // numbers in the keys of its records
}

// Progress is how far an item has come.
type Progress struct {
	text  []byte
	last  int
	chain uint64
}

// Text returns the data of the events so far, which must not be changed.
func (p Progress) Text() []byte { return p.text }

// Last returns the number of the last event; 0 when there is none.
func (p Progress) Last() int { return p.last }

// Chain returns the number of the run that had the last event; 0 when there is none. Only events of that run, or of one
// that was asked to go on behind its last event, may follow.
func (p Progress) Chain() uint64 { return p.chain }

// View is what a replica knows of a job at one moment.
type View struct {
	id      string
	host    string
	path    string
	total   int
	open    []Item
	fails   map[string]int
	saved   map[string]Progress
	at      time.Time
	within  time.Duration
	retain  time.Duration
	runner  Runner
	ended   bool
	changed <-chan struct{}
}

// ID returns the identifier of the job.
func (v View) ID() string { return v.id }

// Host returns the host that the job was submitted to.
func (v View) Host() string { return v.host }

// Path returns the path that the job was submitted to.
func (v View) Path() string { return v.path }

// Total returns the number of items.
func (v View) Total() int { return v.total }

// Open returns the items that are not listed; none when the job has ended.
func (v View) Open() []Item { return v.open }

// Fails returns the number of failed runs of an item.
func (v View) Fails(item string) int { return v.fails[item] }

// Progress returns how far an item has come that is not listed.
func (v View) Progress(item string) Progress { return v.saved[item] }

// At returns the time at which the job was accepted.
func (v View) At() time.Time { return v.at }

// Due returns the time at which all results are due.
func (v View) Due() time.Time { return v.at.Add(v.within) }

// Abandon returns the time after which items may be given up.
func (v View) Abandon() time.Time { return v.at.Add(v.retain) }

// Runner returns the process that runs the job while it is live.
func (v View) Runner() Runner { return v.runner }

// Ended reports whether the job was ended by its caller.
func (v View) Ended() bool { return v.ended }

// Finished reports whether nothing more will be listed.
func (v View) Finished() bool { return v.ended || len(v.open) == 0 }

// Changed returns a channel that is closed at the next change of the job.
func (v View) Changed() <-chan struct{} { return v.changed }

func (j *job) view() View {
	v := View{
		id: j.id, host: j.record.Host, path: j.record.Path, total: j.record.Items, at: time.UnixMilli(j.record.AtMS),
		within: time.Duration(j.record.WithinMS) * time.Millisecond, retain: time.Duration(j.record.RetainMS) * time.Millisecond,
		runner: NewRunner(j.record.Runner, j.record.RunnerRun), ended: j.ended, changed: j.changed,
	}

	if j.ended {
		return v
	}

	v.fails = make(map[string]int, len(j.fails))
	for k, n := range j.fails {
		v.fails[k] = n
	}

	v.saved = make(map[string]Progress, len(j.saved))

	for _, i := range j.items {
		if s, ok := j.saved[i.id]; ok && !j.listed[i.id] {
			v.saved[i.id] = Progress{text: s.text[:len(s.text):len(s.text)], last: s.last, chain: s.chain}
		}

		if !j.listed[i.id] {
			v.open = append(v.open, i)
		}
	}

	return v
}

// byDue orders views by the time at which they are due.
func byDue(a, b View) int { return cmp.Or(a.Due().Compare(b.Due()), cmp.Compare(a.id, b.id)) }

func sortViews(l []View) { slices.SortFunc(l, byDue) }
