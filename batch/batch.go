// Package batch holds the state of batch jobs: it replays their records of a keyed log stream into a Replica and
// encodes the records that change it. Package batches appends them on the condition that the stream ends where its
// replica does, so that a job is accepted once and the result of an item is published once, at the same position in
// every replica. The package does no input or output.
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

// NewItem returns an item: a request to the target with a path, a header and a body, and its size in tokens.
func NewItem(id, path string, header map[string][]string, body []byte, tokens int) Item {
	return Item{id: id, path: path, header: header, body: body, tokens: tokens}
}

// ID returns the identifier.
func (i Item) ID() string { return i.id }

// Path returns the path of the request to the target.
func (i Item) Path() string { return i.path }

// Header returns the header of the request, which must not be modified.
func (i Item) Header() map[string][]string { return i.header }

// Body returns the body of the request, which must not be modified.
func (i Item) Body() []byte { return i.body }

// Tokens returns the size in tokens.
func (i Item) Tokens() int { return i.tokens }

// Runner identifies the daemon process that runs a job while it is live.
type Runner struct {
	vm    string
	start int64
}

// NewRunner returns the daemon process of a VM that started at start, in Unix milliseconds.
func NewRunner(vm string, start int64) Runner { return Runner{vm: vm, start: start} }

// VM returns the name of the VM.
func (r Runner) VM() string { return r.vm }

// Start returns the start time of the process in Unix milliseconds.
func (r Runner) Start() int64 { return r.start }

// Submission is a job as submitted by a caller.
type Submission struct {
	id, host, path          string
	items                   []Item
	acceptedAt              time.Time
	dueAfter, deadlineAfter time.Duration
	runner                  Runner
}

// NewSubmission returns a job that was submitted to a host and path.
func NewSubmission(id, host, path string, items []Item) Submission {
	return Submission{id: id, host: host, path: path, items: items}
}

// WithTimes returns a copy with the time of acceptance and, counted from then, the due time of all results and the
// deadline at which items without a result may be failed.
func (s Submission) WithTimes(acceptedAt time.Time, dueAfter, deadlineAfter time.Duration) Submission {
	s.acceptedAt, s.dueAfter, s.deadlineAfter = acceptedAt, dueAfter, deadlineAfter

	return s
}

// WithRunner returns a copy that is run by r while r is live.
func (s Submission) WithRunner(r Runner) Submission {
	s.runner = r

	return s
}

// ID returns the identifier of the job.
func (s Submission) ID() string { return s.id }

// Host returns the host that the job was submitted to.
func (s Submission) Host() string { return s.host }

// Path returns the path that the job was submitted to.
func (s Submission) Path() string { return s.path }

// Items returns the items, which must not be modified.
func (s Submission) Items() []Item { return s.items }

// AcceptedAt returns the time of acceptance.
func (s Submission) AcceptedAt() time.Time { return s.acceptedAt }

// DueAfter returns the time from acceptance until all results are due.
func (s Submission) DueAfter() time.Duration { return s.dueAfter }

// DeadlineAfter returns the time from acceptance until items without a result may be failed.
func (s Submission) DeadlineAfter() time.Duration { return s.deadlineAfter }

// Result is the result of an item, which callers may read once it is published.
type Result struct {
	item      string
	completed bool
	text      string
}

// NewResult returns the result of an item: its text if it was completed, otherwise that the item failed.
func NewResult(item, text string, completed bool) Result {
	return Result{item: item, text: text, completed: completed}
}

// Item returns the identifier of the item.
func (r Result) Item() string { return r.item }

// IsCompleted reports whether the item was completed; otherwise it failed.
func (r Result) IsCompleted() bool { return r.completed }

// Text returns the text of a completed item; empty for a failed one.
func (r Result) Text() string { return r.text }

// job is the state of a job in a replica, guarded by the replica's lock.
type job struct {
	id             string
	record         jobRecord
	items          []Item         // none once the job has ended
	itemIndex      map[string]int // index in items, by identifier
	results        []Result       // by position
	published      map[string]bool
	failedAttempts map[string]int
	textPartCounts map[int]int // number of text records of each long result, by position
	progress       map[string]*savedProgress
	ended          bool
	changed        chan struct{} // closed and replaced at each change
}

// savedProgress is the progress of an item as saved in the log.
type savedProgress struct {
	Progress

	keyNumbers []int // event numbers in the keys of its records, needed to drop them
}

// Progress is the saved progress of an item that has no result yet. The zero value means that it has no events.
type Progress struct {
	text      []byte
	lastEvent int
	runID     uint64
}

// Text returns the data of the events so far, which must not be modified.
func (p Progress) Text() []byte { return p.text }

// LastEvent returns the number of the last event; 0 if there is none.
func (p Progress) LastEvent() int { return p.lastEvent }

// RunID returns the identifier of the run that generated the last event; 0 if there is none. Only events of that run,
// or of a run that continues it after its last event, may follow.
func (p Progress) RunID() uint64 { return p.runID }

// View is a snapshot of a job in a replica.
type View struct {
	id             string
	host           string
	path           string
	itemCount      int
	openItems      []Item
	failedAttempts map[string]int
	progress       map[string]Progress
	acceptedAt     time.Time
	dueAfter       time.Duration
	deadlineAfter  time.Duration
	runner         Runner
	ended          bool
	changed        <-chan struct{}
}

// ID returns the identifier of the job.
func (v View) ID() string { return v.id }

// Host returns the host that the job was submitted to.
func (v View) Host() string { return v.host }

// Path returns the path that the job was submitted to.
func (v View) Path() string { return v.path }

// ItemCount returns the number of items.
func (v View) ItemCount() int { return v.itemCount }

// OpenItems returns the items without a published result; none once the job has ended.
func (v View) OpenItems() []Item { return v.openItems }

// FailedAttempts returns the number of failed attempts of an item.
func (v View) FailedAttempts(item string) int { return v.failedAttempts[item] }

// Progress returns the saved progress of an item without a published result.
func (v View) Progress(item string) Progress { return v.progress[item] }

// AcceptedAt returns the time at which the job was accepted.
func (v View) AcceptedAt() time.Time { return v.acceptedAt }

// Due returns the time at which all results are due.
func (v View) Due() time.Time { return v.acceptedAt.Add(v.dueAfter) }

// Deadline returns the time at which items without a result may be failed.
func (v View) Deadline() time.Time { return v.acceptedAt.Add(v.deadlineAfter) }

// Runner returns the daemon process that runs the job while it is live.
func (v View) Runner() Runner { return v.runner }

// IsEnded reports whether the job was ended by its caller.
func (v View) IsEnded() bool { return v.ended }

// IsFinished reports whether no more results will be published: all items have one or the job has ended.
func (v View) IsFinished() bool { return v.ended || len(v.openItems) == 0 }

// Changed returns a channel that is closed at the first change of the job after the snapshot.
func (v View) Changed() <-chan struct{} { return v.changed }

func (j *job) view() View {
	v := View{
		id: j.id, host: j.record.Host, path: j.record.Path, itemCount: j.record.Items, acceptedAt: time.UnixMilli(j.record.AtMS),
		dueAfter: time.Duration(j.record.WithinMS) * time.Millisecond, deadlineAfter: time.Duration(j.record.RetainMS) * time.Millisecond,
		runner: NewRunner(j.record.Runner, j.record.RunnerRun), ended: j.ended, changed: j.changed,
	}

	if j.ended {
		return v
	}

	v.failedAttempts = make(map[string]int, len(j.failedAttempts))
	for k, n := range j.failedAttempts {
		v.failedAttempts[k] = n
	}

	v.progress = make(map[string]Progress, len(j.progress))

	for _, i := range j.items {
		if s, ok := j.progress[i.id]; ok && !j.published[i.id] {
			v.progress[i.id] = Progress{text: s.text[:len(s.text):len(s.text)], lastEvent: s.lastEvent, runID: s.runID}
		}

		if !j.published[i.id] {
			v.openItems = append(v.openItems, i)
		}
	}

	return v
}

// compareDue orders jobs by their due time, then by identifier.
func compareDue(a, b View) int { return cmp.Or(a.Due().Compare(b.Due()), cmp.Compare(a.id, b.id)) }

func sortViews(l []View) { slices.SortFunc(l, compareDue) }
