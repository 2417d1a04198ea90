package journal

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/agategap/agategap/job"
)

// ErrState means that the sections of a state are not complete or not consistent.
var ErrState = errors.New("the state of a partition cannot be restored")

// chunkBytes bounds the items or results that one section carries.
const chunkBytes = 256 << 10

// State returns the partition's state at its offset as sections. Restore takes them in the same order.
func (p *Partition) State() ([]Section, error) {
	s, work, err := p.copyState()
	if err != nil {
		return nil, err
	}

	// Lookups wait for the lock, so the copies are put in order without it.
	slices.SortFunc(work, func(a, b Work) int {
		return cmp.Or(strings.Compare(a.accept.Account, b.accept.Account), strings.Compare(a.accept.Key, b.accept.Key))
	})

	l := make([]Section, 0, len(s)+len(work))
	l = append(l, s[:headSections]...)

	for i := range work {
		l = append(l, Section{Work: work[i].image()})
	}

	return append(l, s[headSections:]...), nil
}

// headSections is the number of sections before the first work.
const headSections = 2

// copyState returns the sections of everything but work, and a copy of the work.
func (p *Partition) copyState() ([]Section, []Work, error) {
	p.mu.Lock()
	defer p.mu.Unlock()

	s := []Section{{Head: &Head{Offset: p.offset, AtMS: p.at.UnixMilli(), Evicted: p.evicted}}, {Writers: p.writerImages()}}
	work := make([]Work, 0, len(p.work))

	for _, w := range p.work {
		if !w.expired(p.at) {
			work = append(work, *w)
		}
	}

	for _, id := range slices.Sorted(maps.Keys(p.jobs)) {
		if j := p.jobs[id]; !j.Expired(p.at) {
			l, err := jobSections(j)
			if err != nil {
				return nil, nil, err
			}

			s = append(s, l...)
		}
	}

	return s, work, nil
}

// Restore replaces the partition's state by the one in s, if that is at a higher offset, and reports whether it
// did. The error is ErrState; the partition then stays as it is.
func (p *Partition) Restore(s []Section) (bool, error) {
	n, err := restored(s)
	if err != nil {
		return false, err
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	if n.offset <= p.offset {
		return false, nil
	}

	p.offset, p.at, p.evicted = n.offset, n.at, n.evicted
	p.work, p.jobs, p.writers, p.due = n.work, n.jobs, n.writers, n.due

	return true, nil
}

// Reset empties the partition.
func (p *Partition) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.offset, p.at, p.evicted = 0, time.Time{}, 0
	p.work, p.jobs, p.writers, p.due = nil, nil, nil, dueList{}
}

func (p *Partition) writerImages() []Writer {
	l := make([]Writer, 0, len(p.writers))
	for n, w := range p.writers {
		l = append(l, Writer{Name: n, Number: w.number, Offset: w.offset})
	}

	slices.SortFunc(l, func(a, b Writer) int { return strings.Compare(a.Name, b.Name) })

	return l
}

func (w *Work) image() *WorkImage {
	m := &WorkImage{Accept: w.accept, Claim: w.claim, Replaced: w.replaced}

	if w.claim.ID != "" {
		m.ClaimedAtMS = w.claimedAt.UnixMilli()
	}

	if w.ended {
		r := w.result
		m.Result, m.EndedAtMS = &r, w.endedAt.UnixMilli()
	}

	return m
}

func jobSections(j *job.Job) ([]Section, error) {
	m, err := j.Image()
	if err != nil {
		return nil, err
	}

	s := []Section{{Job: &m}}
	items := j.Stored()
	sizes := func(i int) int { return len(items[i].Body) + len(items[i].CustomID) }

	for first, end := range chunks(len(items), sizes) {
		s = append(s, Section{Items: &job.Items{Job: j.ID(), First: first, Items: items[first:end]}})
	}

	results := j.Results()
	sizes = func(i int) int { return len(results[i].Body) + len(results[i].Reason) }

	for first, end := range chunks(len(results), sizes) {
		s = append(s, Section{Results: &job.Results{Job: j.ID(), Results: results[first:end]}})
	}

	return s, nil
}

// chunks yields ranges of n elements whose summed size is about chunkBytes.
func chunks(n int, size func(i int) int) func(yield func(first, end int) bool) {
	const overhead = 32

	return func(yield func(first, end int) bool) {
		for first := 0; first < n; {
			end, sum := first, 0
			for end < n && (end == first || sum < chunkBytes) {
				sum += size(end) + overhead
				end++
			}

			if !yield(first, end) {
				return
			}

			first = end
		}
	}
}

// restored returns the partition that sections describe.
func restored(s []Section) (*Partition, error) {
	if len(s) == 0 || s[0].Head == nil {
		return nil, fmt.Errorf("%w: no head", ErrState)
	}

	h := s[0].Head
	p := &Partition{offset: h.Offset, at: time.UnixMilli(h.AtMS), evicted: h.Evicted}
	p.init()

	for _, v := range s[1:] {
		if err := p.restore(v); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrState, err)
		}
	}

	return p, nil
}

func (p *Partition) restore(s Section) error {
	switch {
	case s.Head != nil:
		return errors.New("second head")
	case s.Work != nil:
		p.restoreWork(*s.Work)
	case s.Job != nil:
		if s.Job.Open.Items < 0 || s.Job.Open.Items > MaxItems {
			return fmt.Errorf("job %s has %d items", s.Job.Open.Job, s.Job.Open.Items)
		}

		j, err := job.Restore(*s.Job)
		if err != nil {
			return err
		}

		p.jobs[j.ID()] = j
	case s.Items != nil:
		if j := p.jobs[s.Items.Job]; j != nil {
			j.RestoreItems(s.Items.First, s.Items.Items)
		}
	case s.Results != nil:
		if j := p.jobs[s.Results.Job]; j != nil {
			j.RestoreResults(s.Results.Results)
		}
	}

	for _, w := range s.Writers {
		p.writers[w.Name] = writer{number: w.Number, offset: w.Offset}
	}

	return nil
}

func (p *Partition) restoreWork(m WorkImage) {
	k := NewKey(m.Accept.Account, m.Accept.Key)
	w := &Work{accept: m.Accept, claim: m.Claim, replaced: m.Replaced}
	p.work[k] = w

	if m.Claim.ID != "" {
		w.claimedAt = time.UnixMilli(m.ClaimedAtMS)
	}

	if m.Result != nil {
		w.end(*m.Result, time.UnixMilli(m.EndedAtMS))
		p.due.add(k, w.expiry())
	}
}

// Weight estimates the encoded size of a section, in bytes.
func (s Section) Weight() int {
	const overhead = 256

	n := overhead

	switch {
	case s.Work != nil:
		n += len(s.Work.Accept.Body)
		if r := s.Work.Result; r != nil {
			n += len(r.Body) + len(r.Text)
		}
	case s.Job != nil:
		n += len(s.Job.Carried) + len(s.Job.Started) + len(s.Job.Ended) + overhead*len(s.Job.Leases)
	case s.Items != nil:
		for _, v := range s.Items.Items {
			n += len(v.Body) + len(v.CustomID)
		}
	case s.Results != nil:
		for _, v := range s.Results.Results {
			n += len(v.Body) + len(v.Reason)
		}
	}

	return n + overhead*len(s.Writers)
}
