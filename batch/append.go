package batch

import (
	"strconv"
	"time"

	"github.com/agategap/agategap/stream"
)

const (
	// recordOverhead is the part of the largest record, in bytes, reserved for its key and its encoding.
	recordOverhead = 4 << 10
	// itemOverhead is the approximate encoded size of an item, in bytes, without its body, header, path and identifier.
	itemOverhead = 256
)

func itoa(n int) string { return strconv.Itoa(n) }

// Records are the log records of a submission: chunks with the items, and the record of the job. If not all records fit
// into one append, earlier appends may add some of the chunks.
type Records struct {
	chunks []stream.KeyedRecord
	job    stream.KeyedRecord
}

// Chunks returns the records of the items. They have no effect until the job's own record is appended.
func (r Records) Chunks() []stream.KeyedRecord { return r.chunks }

// Job returns the record that creates the job. It has to follow all chunks in the log.
func (r Records) Job() stream.KeyedRecord { return r.job }

// Encode returns the records of a submission, each of at most maxRecordBytes. A body that does not fit into one record
// continues in the next chunk.
func (s Submission) Encode(maxRecordBytes int) (Records, error) {
	p := packer{maxBytes: maxRecordBytes - recordOverhead, jobID: s.id}

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

// packer packs the items of a submission into chunks of limited size.
type packer struct {
	maxBytes int // of the items of a chunk
	jobID    string
	size     int // approximate encoded size of chunk, in bytes
	chunk    []itemRecord
	chunks   []stream.KeyedRecord
	err      error
}

// addItem adds an item to the current chunk, and continues its body in new chunks where it does not fit. It records an
// error in p.err.
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
		if p.size > 0 && p.size+size+min(len(rest), p.maxBytes/2) > p.maxBytes { //nolint:mnd // splits off at least half a chunk
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

// flushChunk encodes the current chunk, if it has items, and starts a new one.
func (p *packer) flushChunk() error {
	if p.err != nil || len(p.chunk) == 0 {
		return p.err
	}

	k, err := encodeRecord(recordKey(chunkPrefix, p.jobID, itoa(len(p.chunks))), p.chunk)
	p.chunks = append(p.chunks, k)
	p.chunk, p.size = nil, 0

	return err
}

// ResultEncoder encodes the results that are published in one append. Each result gets the next free position of its
// job. It is not safe for concurrent use.
type ResultEncoder struct {
	replica       *Replica
	maxBytes      int
	positionsUsed map[string]int  // number of results encoded so far, by job
	encoded       map[string]bool // items whose results are encoded, by job and item
}

// NewResultEncoder returns an encoder for one append, with records of at most maxRecordBytes.
func NewResultEncoder(r *Replica, maxRecordBytes int) *ResultEncoder {
	return &ResultEncoder{
		replica: r, maxBytes: maxRecordBytes - recordOverhead, positionsUsed: map[string]int{}, encoded: map[string]bool{},
	}
}

// Encode returns the records that publish a result, or none if the item can no longer get one. They also drop the
// progress of the item and, with the last result of a job, the bodies of all its items.
func (e *ResultEncoder) Encode(jobID string, v Result) ([]stream.KeyedRecord, error) {
	if e.encoded[jobID+separator+v.item] || e.replica.IsItemClosed(jobID, v.item) {
		return nil, nil
	}

	e.encoded[jobID+separator+v.item] = true

	n := e.replica.nextPosition(jobID) + e.positionsUsed[jobID]
	e.positionsUsed[jobID]++

	var records []stream.KeyedRecord

	text, parts := v.text, 0

	for ; len(text) > e.maxBytes; parts++ {
		k, err := encodeRecord(recordKey(textPrefix, jobID, itoa(n), itoa(parts)), textRecord{Text: text[:e.maxBytes]})
		if err != nil {
			return nil, err
		}

		records, text = append(records, k), text[e.maxBytes:]
	}

	k, err := encodeRecord(recordKey(resultPrefix, jobID, itoa(n)), resultRecord{
		Item: v.item, Done: v.completed, Text: text, Parts: parts,
	})
	if err != nil {
		return nil, err
	}

	records = append(records, k)
	records = append(records, e.replica.progressTombstones(jobID, v.item)...)

	if n+1 < e.replica.itemCount(jobID) {
		return records, nil
	}

	chunks, err := e.replica.bodylessChunks(jobID)

	return append(records, chunks...), err
}

// progressTombstones returns records that drop all progress records of an item.
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

// bodylessChunks returns records that replace the chunks of a job by the identifiers of its items. The bodies are most
// of a job's bytes and are not needed once every item has a published result or the job has ended.
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

// itemCount returns the number of items of a job; 0 if it is unknown.
func (r *Replica) itemCount(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()

	if j, ok := r.jobs[id]; ok {
		return j.record.Items
	}

	return 0
}

// nextPosition returns the position of the next result of a job; 0 if the job is unknown.
func (r *Replica) nextPosition(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()

	if j, ok := r.jobs[id]; ok {
		return len(j.results)
	}

	return 0
}

// EncodeEnd returns the records that end a job and drop its bodies and progress, or none if it has ended or is unknown.
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

	chunks, err := r.bodylessChunks(id)

	return append(l, chunks...), err
}

// EncodeFailure returns the record of the number of failed attempts of an item, or none if the log already has as many
// or the job has ended or is unknown.
func (r *Replica) EncodeFailure(id, item string, attempts int) ([]stream.KeyedRecord, error) {
	v, ok := r.Job(id)
	if !ok || v.IsEnded() || v.FailedAttempts(item) >= attempts {
		return nil, nil
	}

	k, err := encodeRecord(recordKey(failurePrefix, id, item), failureRecord{Runs: attempts})

	return []stream.KeyedRecord{k}, err
}

// Events are events of an item that the log does not have yet: those of one run after number afterEvent, up to number
// lastEvent. A run is a sequence of events that one daemon received without starting over. It may continue the events
// of a parent run, which another daemon may have executed.
type Events struct {
	text                  string
	afterEvent, lastEvent int
	runID, parentRunID    uint64
}

// NewEvents returns the events of run runID after number afterEvent, up to number lastEvent, with their data as text.
// parentRunID is the run of event afterEvent: the same run or the one that it continues, or 0 if there is no event
// before.
func NewEvents(text string, afterEvent, lastEvent int, runID, parentRunID uint64) Events {
	return Events{text: text, afterEvent: afterEvent, lastEvent: lastEvent, runID: runID, parentRunID: parentRunID}
}

// Size returns the length of the text in bytes.
func (e Events) Size() int { return len(e.text) }

// EncodeProgress returns the record of events of an item. It returns none if the item can no longer get a result or the
// events do not follow the last one in the log. Events of two runs must not be joined unless one continues the other.
func (r *Replica) EncodeProgress(id, item string, e Events) ([]stream.KeyedRecord, error) {
	lastEvent, runID := r.SavedProgress(id, item)
	if r.IsItemClosed(id, item) || lastEvent != e.afterEvent || runID != e.parentRunID {
		return nil, nil
	}

	k, err := encodeRecord(recordKey(progressPrefix, id, item, itoa(e.afterEvent)), progressRecord{
		Last: e.lastEvent, Text: e.text, Chain: e.runID, Onto: e.parentRunID,
	})

	return []stream.KeyedRecord{k}, err
}

// EncodeExpiry returns, for each expired job, the records that drop it. Expired are the jobs that are finished or past
// their deadline and were accepted at least retention ago; callers may no longer read their results.
func (r *Replica) EncodeExpiry(now time.Time, retention time.Duration) [][]stream.KeyedRecord {
	r.mu.Lock()
	defer r.mu.Unlock()

	var l [][]stream.KeyedRecord

	for _, j := range r.jobs {
		v := j.view()
		if !v.IsFinished() && now.Before(v.Deadline()) || now.Sub(v.acceptedAt) < retention {
			continue
		}

		l = append(l, j.tombstones())
	}

	return l
}

// tombstones returns records that drop all records of a job.
func (j *job) tombstones() []stream.KeyedRecord {
	l := []stream.KeyedRecord{
		stream.NewKeyedRecord(0, recordKey(jobPrefix, j.id), nil), stream.NewKeyedRecord(0, recordKey(endPrefix, j.id), nil),
	}

	for n := range j.record.Chunks {
		l = append(l, stream.NewKeyedRecord(0, recordKey(chunkPrefix, j.id, itoa(n)), nil))
	}

	for n := range j.results {
		l = append(l, stream.NewKeyedRecord(0, recordKey(resultPrefix, j.id, itoa(n)), nil))
	}

	for n, parts := range j.textPartCounts {
		for i := range parts {
			l = append(l, stream.NewKeyedRecord(0, recordKey(textPrefix, j.id, itoa(n), itoa(i)), nil))
		}
	}

	for item, s := range j.progress {
		for _, n := range s.keyNumbers {
			l = append(l, stream.NewKeyedRecord(0, recordKey(progressPrefix, j.id, item, itoa(n)), nil))
		}
	}

	for item := range j.failedAttempts {
		l = append(l, stream.NewKeyedRecord(0, recordKey(failurePrefix, j.id, item), nil))
	}

	return l
}
