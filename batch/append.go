package batch

import (
	"strconv"
	"time"

	"github.com/agategap/agategap/stream"
)

const (
	// overhead is kept free in a record for its key and its encoding.
	overhead = 4 << 10
	// itemOverhead is about the size of an item without its body and header.
	itemOverhead = 256
)

func itoa(n int) string { return strconv.Itoa(n) }

// Records are the records of a submission: chunks, of which all but the last may be appended on their own before it.
type Records struct {
	chunks []stream.Keyed
	job    stream.Keyed
}

// Chunks returns the records of the items. They change nothing until the job's own record is appended.
func (r Records) Chunks() []stream.Keyed { return r.chunks }

// Job returns the record that makes the job exist.
func (r Records) Job() stream.Keyed { return r.job }

// Encode returns the records of a submission, each with at most some bytes.
func (s Submission) Encode(most int) (Records, error) {
	p := packer{most: most - overhead, job: s.id}

	for _, i := range s.items {
		p.add(i)
	}

	if err := p.flush(); err != nil {
		return Records{}, err
	}

	k, err := encode(key(jobPrefix, s.id), jobRecord{
		Host: s.host, Path: s.path, Items: len(s.items), Chunks: len(p.chunks), AtMS: s.at.UnixMilli(),
		WithinMS: s.within.Milliseconds(), RetainMS: s.retain.Milliseconds(), Runner: s.runner.vm, RunnerRun: s.runner.start,
	})

	return Records{chunks: p.chunks, job: k}, err
}

// packer packs items into chunks.
type packer struct {
	most   int
	job    string
	size   int
	open   []itemRecord
	chunks []stream.Keyed
	err    error
}

func (p *packer) add(i Item) {
	size := itemOverhead + len(i.id) + len(i.path)
	for k, l := range i.header {
		size += len(k)

		for _, v := range l {
			size += len(v)
		}
	}

	v := itemRecord{ID: i.id, Path: i.path, Header: i.header, Tokens: i.tokens}

	for rest := i.body; ; {
		if p.size > 0 && p.size+size+min(len(rest), p.most/2) > p.most { //nolint:mnd // half a chunk is worth filling
			p.err = p.flush()
		}

		n := min(len(rest), max(0, p.most-p.size-size))
		v.Body = rest[:n]
		p.open = append(p.open, v)
		p.size += size + n
		rest = rest[n:]

		if len(rest) == 0 || p.err != nil {
			return
		}

		size, v = itemOverhead+len(i.id), itemRecord{ID: i.id, From: v.From + n}
	}
}

func (p *packer) flush() error {
	if p.err != nil || len(p.open) == 0 {
		return p.err
	}

	k, err := encode(key(chunkPrefix, p.job, itoa(len(p.chunks))), p.open)
	p.chunks = append(p.chunks, k)
	p.open, p.size = nil, 0

	return err
}

// Listing makes the records of results that are appended together, each at its own position.
type Listing struct {
	replica *Replica
	most    int
	taken   map[string]int
	seen    map[string]bool
}

// NewListing returns a listing for one append, with at most some bytes in a record.
func NewListing(r *Replica, most int) *Listing {
	return &Listing{replica: r, most: most - overhead, taken: map[string]int{}, seen: map[string]bool{}}
}

// Add returns the records of a result; none when the item can get no result any more.
func (l *Listing) Add(job string, v Result) ([]stream.Keyed, error) {
	if l.seen[job+separator+v.item] || l.replica.Listed(job, v.item) {
		return nil, nil
	}

	l.seen[job+separator+v.item] = true

	n := l.replica.position(job) + l.taken[job]
	l.taken[job]++

	var records []stream.Keyed

	text, parts := v.text, 0

	for ; len(text) > l.most; parts++ {
		k, err := encode(key(textPrefix, job, itoa(n), itoa(parts)), textRecord{Text: text[:l.most]})
		if err != nil {
			return nil, err
		}

		records, text = append(records, k), text[l.most:]
	}

	k, err := encode(key(resultPrefix, job, itoa(n)), resultRecord{Item: v.item, Done: v.done, Text: text, Parts: parts})
	if err != nil {
		return nil, err
	}

	records = append(records, k)
	records = append(records, l.replica.dropProgress(job, v.item)...)

	if n+1 < l.replica.total(job) {
		return records, nil
	}

	stubs, err := l.replica.stubs(job)

	return append(records, stubs...), err
}

// dropProgress returns records that drop the progress of an item.
func (r *Replica) dropProgress(id, item string) []stream.Keyed {
	r.mu.Lock()
	defer r.mu.Unlock()

	j, ok := r.jobs[id]
	if !ok || j.saved[item] == nil {
		return nil
	}

	var l []stream.Keyed
	for _, n := range j.saved[item].from {
		l = append(l, stream.NewKeyed(0, key(progressPrefix, id, item, itoa(n)), nil))
	}

	return l
}

// stubs returns records that replace the items of a job by their identifiers. The bodies are most of a job's bytes, and
// nobody asks for them once every item is listed or the job has ended.
func (r *Replica) stubs(id string) ([]stream.Keyed, error) {
	r.mu.Lock()
	defer r.mu.Unlock()

	j, ok := r.jobs[id]
	if !ok {
		return nil, nil
	}

	var l []stream.Keyed

	for n := range j.record.Chunks {
		ids := []itemRecord{}

		if n == 0 {
			for _, i := range j.items {
				ids = append(ids, itemRecord{ID: i.id})
			}
		}

		k, err := encode(key(chunkPrefix, id, itoa(n)), ids)
		if err != nil {
			return nil, err
		}

		l = append(l, k)
	}

	return l, nil
}

func (r *Replica) total(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()

	if j, ok := r.jobs[id]; ok {
		return j.record.Items
	}

	return 0
}

func (r *Replica) position(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()

	if j, ok := r.jobs[id]; ok {
		return len(j.results)
	}

	return 0
}

// End returns the record that ends a job; none when it has ended or is not known.
func (r *Replica) End(id string) ([]stream.Keyed, error) {
	v, ok := r.Job(id)
	if !ok || v.Ended() {
		return nil, nil
	}

	k, err := encode(key(endPrefix, id), struct{}{})
	if err != nil {
		return nil, err
	}

	l := []stream.Keyed{k}
	for _, i := range v.Open() {
		l = append(l, r.dropProgress(id, i.ID())...)
	}

	stubs, err := r.stubs(id)

	return append(l, stubs...), err
}

// Fail returns the record of a failed run of an item.
func (r *Replica) Fail(id, item string, runs int) ([]stream.Keyed, error) {
	v, ok := r.Job(id)
	if !ok || v.Ended() || v.Fails(item) >= runs {
		return nil, nil
	}

	k, err := encode(key(failPrefix, id, item), failRecord{Runs: runs})

	return []stream.Keyed{k}, err
}

// Events are events of an item that the log does not have, up to number last. They are of run chain, and go on from
// number from of run onto.
type Events struct {
	text        string
	from, last  int
	chain, onto uint64
}

// NewEvents returns events of a run that go on from those of the same run or of another one.
func NewEvents(text string, from, last int, chain, onto uint64) Events {
	return Events{text: text, from: from, last: last, chain: chain, onto: onto}
}

// Size returns the length of the text in bytes.
func (e Events) Size() int { return len(e.text) }

// Save returns the record of events of an item; none when the item is listed, or the log has other events of it. Events
// of two runs of which neither goes on from the other must not be joined.
func (r *Replica) Save(id, item string, e Events) ([]stream.Keyed, error) {
	last, chain := r.Saved(id, item)
	if r.Listed(id, item) || last != e.from || chain != e.onto {
		return nil, nil
	}

	k, err := encode(key(progressPrefix, id, item, itoa(e.from)), progressRecord{Last: e.last, Text: e.text, Chain: e.chain, Onto: e.onto})

	return []stream.Keyed{k}, err
}

// Expired returns records that drop the jobs whose results nobody may read any more: those that are finished or may be
// given up, and were accepted some time ago.
func (r *Replica) Expired(now time.Time, keep time.Duration) []stream.Keyed {
	r.mu.Lock()
	defer r.mu.Unlock()

	var l []stream.Keyed

	for id, j := range r.jobs {
		v := j.view()
		if !v.Finished() && now.Before(v.Abandon()) || now.Sub(v.at) < keep {
			continue
		}

		l = append(l, stream.NewKeyed(0, key(jobPrefix, id), nil), stream.NewKeyed(0, key(endPrefix, id), nil))

		for n := range j.record.Chunks {
			l = append(l, stream.NewKeyed(0, key(chunkPrefix, id, itoa(n)), nil))
		}

		for n := range j.results {
			l = append(l, stream.NewKeyed(0, key(resultPrefix, id, itoa(n)), nil))
		}

		for n, parts := range j.parts {
			for i := range parts {
				l = append(l, stream.NewKeyed(0, key(textPrefix, id, itoa(n), itoa(i)), nil))
			}
		}

		for item, s := range j.saved {
			for _, n := range s.from {
				l = append(l, stream.NewKeyed(0, key(progressPrefix, id, item, itoa(n)), nil))
			}
		}

		for item := range j.fails {
			l = append(l, stream.NewKeyed(0, key(failPrefix, id, item), nil))
		}
	}

	return l
}
