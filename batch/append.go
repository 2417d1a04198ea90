package batch

import (
	"strconv"
	"time"

	"github.com/agategap/agategap/stream"
)

const (
	// recordOverhead is kept free in a record for its key and its encoding.
	recordOverhead = 4 << 10
	// itemOverhead is about the size of an item without its body and header.
	itemOverhead = 256
)

func itoa(n int) string { return strconv.Itoa(n) }

// Records are the records of a submission: chunks, of which all but the last may be appended on their own before it.
type Records struct {
	chunks []stream.KeyedRecord
	job    stream.KeyedRecord
}

// Chunks returns the records of the items. They change nothing until the job's own record is appended.
func (r Records) Chunks() []stream.KeyedRecord { return r.chunks }

// Job returns the record that makes the job exist.
func (r Records) Job() stream.KeyedRecord { return r.job }

// Encode returns the records of a submission, each with at most some bytes.
func (s Submission) Encode(most int) (Records, error) {
	p := packer{maxBytes: most - recordOverhead, jobID: s.id}

	for _, i := range s.items {
		p.addItem(i)
	}

	if err := p.flushChunk(); err != nil {
		return Records{}, err
	}

	k, err := encodeRecord(recordKey(jobPrefix, s.id), jobRecord{
		Host: s.host, Path: s.path, Items: len(s.items), Chunks: len(p.chunks), AtMS: s.acceptedAt.UnixMilli(),
		WithinMS: s.dueAfter.Milliseconds(), RetainMS: s.deadlineAfter.Milliseconds(), Runner: s.runner.vm, RunnerRun: s.runner.start,
	})

	return Records{chunks: p.chunks, job: k}, err
}

// packer packs items into chunks.
type packer struct {
	maxBytes   int
	jobID    string
	size   int
	chunk   []itemRecord
	chunks []stream.KeyedRecord
	err    error
}

func (p *packer) addItem(i Item) {
	size := itemOverhead + len(i.id) + len(i.path)
	for k, l := range i.header {
		size += len(k)

		for _, v := range l {
			size += len(v)
		}
	}

	v := itemRecord{ID: i.id, Path: i.path, Header: i.header, Tokens: i.tokens}

	for rest := i.body; ; {
		if p.size > 0 && p.size+size+min(len(rest), p.maxBytes/2) > p.maxBytes { //nolint:mnd // half a chunk is worth filling
			p.err = p.flushChunk()
		}

		n := min(len(rest), max(0, p.maxBytes-p.size-size))
		v.Body = rest[:n]
		p.chunk = append(p.chunk, v)
		p.size += size + n
		rest = rest[n:]

		if len(rest) == 0 || p.err != nil {
			return
		}

		size, v = itemOverhead+len(i.id), itemRecord{ID: i.id, From: v.From + n}
	}
}

func (p *packer) flushChunk() error {
	if p.err != nil || len(p.chunk) == 0 {
		return p.err
	}

	k, err := encodeRecord(recordKey(chunkPrefix, p.jobID, itoa(len(p.chunks))), p.chunk)
	p.chunks = append(p.chunks, k)
	p.chunk, p.size = nil, 0

	return err
}

// ResultEncoder makes the records of results that are appended together, each at its own position.
type ResultEncoder struct {
	replica *Replica
	maxBytes    int
	positionsUsed   map[string]int
	encoded    map[string]bool
}

// NewResultEncoder returns a listing for one append, with at most some bytes in a record.
func NewResultEncoder(r *Replica, most int) *ResultEncoder {
	return &ResultEncoder{replica: r, maxBytes: most - recordOverhead, positionsUsed: map[string]int{}, encoded: map[string]bool{}}
}

// Encode returns the records of a result; none when the item can get no result any more.
func (l *ResultEncoder) Encode(job string, v Result) ([]stream.KeyedRecord, error) {
	if l.encoded[job+separator+v.item] || l.replica.IsItemClosed(job, v.item) {
		return nil, nil
	}

	l.encoded[job+separator+v.item] = true

	n := l.replica.nextPosition(job) + l.positionsUsed[job]
	l.positionsUsed[job]++

	var records []stream.KeyedRecord

	text, parts := v.text, 0

	for ; len(text) > l.maxBytes; parts++ {
		k, err := encodeRecord(recordKey(textPrefix, job, itoa(n), itoa(parts)), textRecord{Text: text[:l.maxBytes]})
		if err != nil {
			return nil, err
		}

		records, text = append(records, k), text[l.maxBytes:]
	}

	k, err := encodeRecord(recordKey(resultPrefix, job, itoa(n)), resultRecord{Item: v.item, Done: v.completed, Text: text, Parts: parts})
	if err != nil {
		return nil, err
	}

	records = append(records, k)
	records = append(records, l.replica.progressTombstones(job, v.item)...)

	if n+1 < l.replica.itemCount(job) {
		return records, nil
	}

	stubs, err := l.replica.bodylessChunks(job)

	return append(records, stubs...), err
}

// progressTombstones returns records that drop the progress of an item.
func (r *Replica) progressTombstones(id, item string) []stream.KeyedRecord {
	r.mu.Lock()
	defer r.mu.Unlock()

	j, ok := r.jobs[id]
	if !ok || j.progress[item] == nil {
		return nil
	}

	var l []stream.KeyedRecord
	for _, n := range j.progress[item].keyNumbers {
		l = append(l, stream.NewKeyedRecord(0, recordKey(progressPrefix, id, item, itoa(n)), nil))
	}

	return l
}

// bodylessChunks returns records that replace the items of a job by their identifiers. The bodies are most of a job's bytes, and
// nobody asks for them once every item is listed or the job has ended.
func (r *Replica) bodylessChunks(id string) ([]stream.KeyedRecord, error) {
	r.mu.Lock()
	defer r.mu.Unlock()

	j, ok := r.jobs[id]
	if !ok {
		return nil, nil
	}

	var l []stream.KeyedRecord

	for n := range j.record.Chunks {
		ids := []itemRecord{}

		if n == 0 {
			for _, i := range j.items {
				ids = append(ids, itemRecord{ID: i.id})
			}
		}

		k, err := encodeRecord(recordKey(chunkPrefix, id, itoa(n)), ids)
		if err != nil {
			return nil, err
		}

		l = append(l, k)
	}

	return l, nil
}

func (r *Replica) itemCount(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()

	if j, ok := r.jobs[id]; ok {
		return j.record.Items
	}

	return 0
}

func (r *Replica) nextPosition(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()

	if j, ok := r.jobs[id]; ok {
		return len(j.results)
	}

	return 0
}

// EncodeEnd returns the record that ends a job; none when it has ended or is not known.
func (r *Replica) EncodeEnd(id string) ([]stream.KeyedRecord, error) {
	v, ok := r.Job(id)
	if !ok || v.IsEnded() {
		return nil, nil
	}

	k, err := encodeRecord(recordKey(endPrefix, id), struct{}{})
	if err != nil {
		return nil, err
	}

	l := []stream.KeyedRecord{k}
	for _, i := range v.OpenItems() {
		l = append(l, r.progressTombstones(id, i.ID())...)
	}

	stubs, err := r.bodylessChunks(id)

	return append(l, stubs...), err
}

// EncodeFailure returns the record of a failed run of an item.
func (r *Replica) EncodeFailure(id, item string, runs int) ([]stream.KeyedRecord, error) {
	v, ok := r.Job(id)
	if !ok || v.IsEnded() || v.FailedAttempts(item) >= runs {
		return nil, nil
	}

	k, err := encodeRecord(recordKey(failPrefix, id, item), failRecord{Runs: runs})

	return []stream.KeyedRecord{k}, err
}

// Events are events of an item that the log does not have, up to number last. They are of run chain, and go on from
// number from of run onto.
type Events struct {
	text        string
	afterEvent, lastEvent  int
	runID, parentRunID uint64
}

// NewEvents returns events of a run that go on from those of the same run or of another one.
func NewEvents(text string, from, last int, chain, onto uint64) Events {
	return Events{text: text, afterEvent: from, lastEvent: last, runID: chain, parentRunID: onto}
}

// Size returns the length of the text in bytes.
func (e Events) Size() int { return len(e.text) }

// EncodeProgress returns the record of events of an item; none when the item is listed, or the log has other events of it. Events
// of two runs of which neither goes on from the other must not be joined.
func (r *Replica) EncodeProgress(id, item string, e Events) ([]stream.KeyedRecord, error) {
	last, chain := r.SavedProgress(id, item)
	if r.IsItemClosed(id, item) || last != e.afterEvent || chain != e.parentRunID {
		return nil, nil
	}

	k, err := encodeRecord(recordKey(progressPrefix, id, item, itoa(e.afterEvent)), progressRecord{Last: e.lastEvent, Text: e.text, Chain: e.runID, Onto: e.parentRunID})

	return []stream.KeyedRecord{k}, err
}

// EncodeExpiry returns records that drop the jobs whose results nobody may read any more: those that are finished or may be
// given up, and were accepted some time ago.
func (r *Replica) EncodeExpiry(now time.Time, keep time.Duration) []stream.KeyedRecord {
	r.mu.Lock()
	defer r.mu.Unlock()

	var l []stream.KeyedRecord

	for id, j := range r.jobs {
		v := j.view()
		if !v.IsFinished() && now.Before(v.Deadline()) || now.Sub(v.acceptedAt) < keep {
			continue
		}

		l = append(l, stream.NewKeyedRecord(0, recordKey(jobPrefix, id), nil), stream.NewKeyedRecord(0, recordKey(endPrefix, id), nil))

		for n := range j.record.Chunks {
			l = append(l, stream.NewKeyedRecord(0, recordKey(chunkPrefix, id, itoa(n)), nil))
		}

		for n := range j.results {
			l = append(l, stream.NewKeyedRecord(0, recordKey(resultPrefix, id, itoa(n)), nil))
		}

		for n, parts := range j.textPartCounts {
			for i := range parts {
				l = append(l, stream.NewKeyedRecord(0, recordKey(textPrefix, id, itoa(n), itoa(i)), nil))
			}
		}

		for item, s := range j.progress {
			for _, n := range s.keyNumbers {
				l = append(l, stream.NewKeyedRecord(0, recordKey(progressPrefix, id, item, itoa(n)), nil))
			}
		}

		for item := range j.failedAttempts {
			l = append(l, stream.NewKeyedRecord(0, recordKey(failPrefix, id, item), nil))
		}
	}

	return l
}
