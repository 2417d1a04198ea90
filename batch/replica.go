package batch

import (
	"cmp"
	"slices"
	"strings"
	"sync"

	"github.com/agategap/agategap/stream"
)

// Replica holds the jobs of one partition, as replayed from the log. The zero value is empty and ready to use. It is
// safe for concurrent use.
type Replica struct {
	mu         sync.Mutex
	jobs       map[string]*job
	chunks     map[string]map[int][]itemRecord // of jobs whose own record has not been applied, by job and number
	textParts  map[string]map[string]string    // of results that have not been applied, by job and by POSITION/NUMBER
	changed    chan struct{}                   // nil unless Changed was called since the last change
	unreadable int                             // records that could not be applied
}

// Changed returns a channel that is closed at the next change of any job.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.changed == nil {
		r.changed = make(chan struct{})
	}

	return r.changed
}

// notify closes the channels that wait for a change: those of the replica and, unless j is nil, of the job.
func (r *Replica) notify(j *job) {
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}

	if j != nil {
		close(j.changed)
		j.changed = make(chan struct{})
	}
}

// UnreadableRecords returns the number of records that could not be applied, as they cannot be decoded or depend on a
// record that is missing.
func (r *Replica) UnreadableRecords() int {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.unreadable
}

// Reset replaces the state by that of l, the newest record of each key in any order. It is part of keyed.Sink, like
// Apply.
func (r *Replica) Reset(l []stream.KeyedRecord, _ int64) {
	r.mu.Lock()
	defer r.mu.Unlock()

	for _, j := range r.jobs {
		close(j.changed)
	}

	r.jobs, r.chunks, r.textParts = nil, nil, nil

	// Records depend on records of other kinds: jobs on chunks, results on texts and jobs, ends and failures on jobs.
	// Results come before progress so that the progress of items with a result is not kept.
	for _, p := range []string{chunkPrefix + textPrefix, jobPrefix, resultPrefix + endPrefix + failurePrefix} {
		for _, k := range l {
			if x, _, _ := parseKey(k.Key()); x != "" && strings.Contains(p, x) {
				r.apply(k)
			}
		}
	}

	r.resetProgress(l)

	r.notify(nil)
}

// resetProgress applies the progress records in the order in which they were appended, as each continues the previous
// one.
func (r *Replica) resetProgress(l []stream.KeyedRecord) {
	var p []stream.KeyedRecord

	for _, k := range l {
		if x, _, _ := parseKey(k.Key()); x == progressPrefix {
			p = append(p, k)
		}
	}

	slices.SortFunc(p, func(a, b stream.KeyedRecord) int { return cmp.Compare(a.Offset(), b.Offset()) })

	for _, k := range p {
		r.apply(k)
	}
}

// Apply applies the next record of the stream.
func (r *Replica) Apply(k stream.KeyedRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.apply(k)
}

// apply applies a record and counts it if it is unreadable. The functions for the kinds of records return false if the
// record cannot be decoded or depends on one that is missing.
func (r *Replica) apply(k stream.KeyedRecord) {
	prefix, id, rest := parseKey(k.Key())
	if len(k.Value()) == 0 {
		r.applyTombstone(prefix, id, rest)

		return
	}

	ok := false

	switch prefix {
	case chunkPrefix:
		ok = r.applyChunk(id, rest, k)
	case textPrefix:
		ok = r.applyText(id, rest, k)
	case jobPrefix:
		ok = r.applyJob(id, k)
	case resultPrefix:
		ok = r.applyResult(id, rest, k)
	case progressPrefix:
		ok = r.applyProgress(id, rest, k)
	case failurePrefix:
		ok = r.applyFailure(id, rest, k)
	case endPrefix:
		if j, found := r.jobs[id]; found {
			ok, j.ended = true, true
			j.items, j.itemIndex = nil, nil
			r.notify(j)
		}
	}

	if !ok {
		r.unreadable++
	}
}

// applyTombstone applies a record without a value, which drops its key. The tombstone of a job record, which comes
// before those of the job's other records, removes the whole job. The tombstone of a progress record removes the
// progress of its item. All others change nothing.
func (r *Replica) applyTombstone(prefix, id, rest string) {
	j, ok := r.jobs[id]
	if !ok {
		return
	}

	if prefix == progressPrefix {
		item, _, _ := strings.Cut(rest, separator)
		delete(j.progress, item)
	}

	if prefix != jobPrefix {
		return
	}

	delete(r.jobs, id)
	delete(r.chunks, id)
	delete(r.textParts, id)
	r.notify(j)
}

func (r *Replica) applyChunk(id, rest string, k stream.KeyedRecord) bool {
	n, ok := parseNumber(rest)

	var l []itemRecord
	if !ok || decodeRecord(k, &l) != nil {
		return false
	}

	if _, known := r.jobs[id]; known {
		return true // the job was submitted again, or its chunks were replaced by ones without bodies
	}

	if r.chunks == nil {
		r.chunks = map[string]map[int][]itemRecord{}
	}

	if r.chunks[id] == nil {
		r.chunks[id] = map[int][]itemRecord{}
	}

	r.chunks[id][n] = l

	return true
}

func (r *Replica) applyText(id, rest string, k stream.KeyedRecord) bool {
	var v textRecord
	if decodeRecord(k, &v) != nil {
		return false
	}

	if r.textParts == nil {
		r.textParts = map[string]map[string]string{}
	}

	if r.textParts[id] == nil {
		r.textParts[id] = map[string]string{}
	}

	r.textParts[id][rest] = v.Text

	return true
}

func (r *Replica) applyJob(id string, k stream.KeyedRecord) bool {
	var v jobRecord
	if decodeRecord(k, &v) != nil {
		return false
	}

	if _, known := r.jobs[id]; known {
		return true
	}

	j := &job{
		id: id, record: v, itemIndex: map[string]int{}, published: map[string]bool{}, failedAttempts: map[string]int{},
		textPartCounts: map[int]int{}, progress: map[string]*savedProgress{}, changed: make(chan struct{}),
	}

	for n := range v.Chunks {
		for _, i := range r.chunks[id][n] {
			j.addItem(i)
		}
	}

	delete(r.chunks, id)

	if len(j.items) != v.Items {
		return false
	}

	if r.jobs == nil {
		r.jobs = map[string]*job{}
	}

	r.jobs[id] = j
	r.notify(nil)

	return true
}

// addItem adds an item, or the next part of the body of an item that was added before.
func (j *job) addItem(i itemRecord) {
	if n, ok := j.itemIndex[i.ID]; ok {
		j.items[n].body = append(j.items[n].body, i.Body...)

		return
	}

	j.itemIndex[i.ID] = len(j.items)
	j.items = append(j.items, NewItem(i.ID, i.Path, i.Header, i.Body, i.Tokens))
}

func (r *Replica) applyResult(id, rest string, k stream.KeyedRecord) bool {
	var v resultRecord

	n, ok := parseNumber(rest)
	j, found := r.jobs[id]

	if !ok || !found || decodeRecord(k, &v) != nil {
		return false
	}

	text := r.joinText(id, rest, v.Parts) + v.Text

	for len(j.results) <= n {
		j.results = append(j.results, Result{})
	}

	j.results[n] = Result{item: v.Item, completed: v.Done, text: text}
	if v.Parts > 0 {
		j.textPartCounts[n] = v.Parts
	}

	j.published[v.Item] = true

	if s, ok := j.progress[v.Item]; ok {
		s.text = nil
	}

	if i, known := j.itemIndex[v.Item]; known {
		j.items[i].body, j.items[i].header = nil, nil // only needed while the item has no result
	}

	r.notify(j)

	return true
}

// joinText joins and removes the text records of the result at a position.
func (r *Replica) joinText(id, position string, parts int) string {
	var b strings.Builder

	for n := range parts {
		k := position + separator + itoa(n)
		b.WriteString(r.textParts[id][k])
		delete(r.textParts[id], k)
	}

	return b.String()
}

// applyProgress adds events of an item. It ignores the events of a record that does not continue the last one or whose
// item has a result, but remembers its key, so that the record can be dropped.
func (r *Replica) applyProgress(id, rest string, k stream.KeyedRecord) bool {
	var v progressRecord

	item, n, _ := strings.Cut(rest, separator)
	from, ok := parseNumber(n)
	j, found := r.jobs[id]

	if !ok || !found || decodeRecord(k, &v) != nil {
		return false
	}

	s, known := j.progress[item]
	if !known {
		s = &savedProgress{}
		j.progress[item] = s
	}

	s.keyNumbers = append(s.keyNumbers, from)

	if from == s.lastEvent && v.Onto == s.runID && !j.published[item] && !j.ended {
		s.text = append(s.text, v.Text...)
		s.lastEvent, s.runID = v.Last, v.Chain
	}

	return true
}

// SavedProgress returns the number of the last event of an item in the log and the run that generated it; zeros if
// there is none.
func (r *Replica) SavedProgress(id, item string) (lastEvent int, runID uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if j, ok := r.jobs[id]; ok && j.progress[item] != nil {
		return j.progress[item].lastEvent, j.progress[item].runID
	}

	return 0, 0
}

func (r *Replica) applyFailure(id, rest string, k stream.KeyedRecord) bool {
	var v failureRecord

	j, found := r.jobs[id]
	if !found || decodeRecord(k, &v) != nil {
		return false
	}

	j.failedAttempts[rest] = max(j.failedAttempts[rest], v.Runs)

	return true
}

// Job returns a snapshot of a job and whether the job is known.
func (r *Replica) Job(id string) (View, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()

	j, ok := r.jobs[id]
	if !ok {
		return View{}, false
	}

	return j.view(), true
}

// HasJob reports whether a job is known.
func (r *Replica) HasJob(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	_, ok := r.jobs[id]

	return ok
}

// OpenJobs returns the jobs that have items without a result and have not ended, ordered by due time.
func (r *Replica) OpenJobs() []View {
	r.mu.Lock()
	defer r.mu.Unlock()

	var l []View

	for _, j := range r.jobs {
		if !j.ended && len(j.results) < j.record.Items {
			l = append(l, j.view())
		}
	}

	sortViews(l)

	return l
}

// IsItemClosed reports whether an item can no longer get a result: it has one, or its job has ended or is unknown.
func (r *Replica) IsItemClosed(id, item string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	j, ok := r.jobs[id]

	return !ok || j.ended || j.published[item]
}

// Results returns the results of a job from position from on, a snapshot of the job and whether the job is known. Their
// texts and item identifiers have at most maxBytes in all, unless the first result alone exceeds that.
func (r *Replica) Results(id string, from, maxBytes int) ([]Result, View, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()

	j, ok := r.jobs[id]
	if !ok {
		return nil, View{}, false
	}

	var l []Result

	size := 0

	for _, v := range j.results[min(max(from, 0), len(j.results)):] {
		size += len(v.text) + len(v.item)
		if len(l) > 0 && size > maxBytes {
			break
		}

		l = append(l, v)
	}

	return l, j.view(), true
}

// Body returns the body of an item, provided that it has no result and its job has not ended. known reports whether the
// job is known, found whether there is such an item.
func (r *Replica) Body(id, item string) (body []byte, known, found bool) {
	r.mu.Lock()
	defer r.mu.Unlock()

	j, ok := r.jobs[id]
	if !ok {
		return nil, false, false
	}

	n, ok := j.itemIndex[item]
	if !ok || j.ended || j.published[item] {
		return nil, true, false
	}

	return j.items[n].body, true, true
}

// Count returns the number of jobs and of published results.
func (r *Replica) Count() (jobs, results int) {
	r.mu.Lock()
	defer r.mu.Unlock()

	for _, j := range r.jobs {
		results += len(j.results)
	}

	return len(r.jobs), results
}
