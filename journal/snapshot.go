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

// ErrInvalidSnapshot means that the sections of a snapshot are incomplete or inconsistent.
var ErrInvalidSnapshot = errors.New("invalid snapshot of a partition")

// sectionBytes is the size of items or results at which a section ends and the next one begins.
const sectionBytes = 256 << 10

// Snapshot returns the state of the partition at its offset as sections, which Restore takes in the same order.
func (p *Partition) Snapshot() ([]Section, error) {
	s, work, err := p.copySections()
	if err != nil {
		return nil, err
	}

	// Sorting happens on the copies after the lock is released, because lookups wait for the lock.
	slices.SortFunc(work, func(a, b Work) int {
		return cmp.Or(strings.Compare(a.accept.Account, b.accept.Account), strings.Compare(a.accept.Key, b.accept.Key))
	})

	l := make([]Section, 0, len(s)+len(work))
	l = append(l, s[:leadingSections]...)

	for i := range work {
		l = append(l, Section{Work: work[i].snapshot()})
	}

	return append(l, s[leadingSections:]...), nil
}

// leadingSections is the number of sections before those of work: the header and the writers.
const leadingSections = 2

// copySections returns all sections except those of work, and a copy of the work.
func (p *Partition) copySections() ([]Section, []Work, error) {
	p.mu.Lock()
	defer p.mu.Unlock()

	s := []Section{{Head: &Header{Offset: p.offset, AtMS: p.logTime.UnixMilli(), Evicted: p.evictedUpTo}}, {Writers: p.writerRecords()}}
	work := make([]Work, 0, len(p.work))

	for _, w := range p.work {
		if !w.isExpired(p.logTime) {
			work = append(work, *w)
		}
	}

	for _, id := range slices.Sorted(maps.Keys(p.jobs)) {
		if j := p.jobs[id]; !j.IsExpired(p.logTime) {
			l, err := jobSections(j)
			if err != nil {
				return nil, nil, err
			}

			s = append(s, l...)
		}
	}

	return s, work, nil
}

// Restore replaces the partition's state by the snapshot s if s is at a higher offset, and reports whether it did.
// Every error is an ErrInvalidSnapshot and leaves the partition unchanged.
func (p *Partition) Restore(s []Section) (bool, error) {
	n, err := newFromSections(s)
	if err != nil {
		return false, err
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	if n.offset <= p.offset {
		return false, nil
	}

	p.offset, p.logTime, p.evictedUpTo = n.offset, n.logTime, n.evictedUpTo
	p.work, p.jobs, p.writers, p.expiries = n.work, n.jobs, n.writers, n.expiries

	return true, nil
}

// Reset empties the partition.
func (p *Partition) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.offset, p.logTime, p.evictedUpTo = 0, time.Time{}, 0
	p.work, p.jobs, p.writers, p.expiries = nil, nil, nil, expiryIndex{}
}

func (p *Partition) writerRecords() []WriterRecord {
	l := make([]WriterRecord, 0, len(p.writers))
	for n, w := range p.writers {
		l = append(l, WriterRecord{Name: n, Number: w.number, Offset: w.offset})
	}

	slices.SortFunc(l, func(a, b WriterRecord) int { return strings.Compare(a.Name, b.Name) })

	return l
}

func (w *Work) snapshot() *WorkSnapshot {
	m := &WorkSnapshot{Accept: w.accept, Claim: w.claim, Replaced: w.claimReplaced}

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
	m, err := j.Snapshot()
	if err != nil {
		return nil, err
	}

	s := []Section{{Job: &m}}
	items := j.Items()
	sizes := func(i int) int { return len(items[i].Body) + len(items[i].CustomID) }

	for first, end := range splitRanges(len(items), sizes) {
		s = append(s, Section{Items: &job.ItemsRecord{Job: j.ID(), First: first, Items: items[first:end]}})
	}

	results := j.Results()
	sizes = func(i int) int { return len(results[i].Body) + len(results[i].Reason) }

	for first, end := range splitRanges(len(results), sizes) {
		s = append(s, Section{Results: &job.ResultsRecord{Job: j.ID(), Results: results[first:end]}})
	}

	return s, nil
}

// splitRanges yields consecutive ranges of n elements. A range ends once the summed size of its elements reaches
// sectionBytes.
func splitRanges(n int, size func(i int) int) func(yield func(first, end int) bool) {
	const overhead = 32 // estimated size of an element without its text and body

	return func(yield func(first, end int) bool) {
		for first := 0; first < n; {
			end, sum := first, 0
			for end < n && (end == first || sum < sectionBytes) {
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

// newFromSections returns a partition with the state in s, whose first section has to be the header.
func newFromSections(s []Section) (*Partition, error) {
	if len(s) == 0 || s[0].Head == nil {
		return nil, fmt.Errorf("%w: the first section is not a header", ErrInvalidSnapshot)
	}

	h := s[0].Head
	p := &Partition{offset: h.Offset, logTime: time.UnixMilli(h.AtMS), evictedUpTo: h.Evicted}
	p.initMaps()

	for _, v := range s[1:] {
		if err := p.restoreSection(v); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrInvalidSnapshot, err)
		}
	}

	return p, nil
}

func (p *Partition) restoreSection(s Section) error {
	switch {
	case s.Head != nil:
		return errors.New("more than one header section")
	case s.Work != nil:
		p.restoreWork(*s.Work)
	case s.Job != nil:
		if s.Job.Open.Items < 0 || s.Job.Open.Items > MaxJobItems {
			return fmt.Errorf("job %s: invalid number of items %d", s.Job.Open.Job, s.Job.Open.Items)
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
		p.writers[w.Name] = writerState{number: w.Number, offset: w.Offset}
	}

	return nil
}

func (p *Partition) restoreWork(m WorkSnapshot) {
	k := NewKey(m.Accept.Account, m.Accept.Key)
	w := &Work{accept: m.Accept, claim: m.Claim, claimReplaced: m.Replaced}
	p.work[k] = w

	if m.Claim.ID != "" {
		w.claimedAt = time.UnixMilli(m.ClaimedAtMS)
	}

	if m.Result != nil {
		w.complete(*m.Result, time.UnixMilli(m.EndedAtMS))
		p.expiries.add(k, w.expiry())
	}
}

// EstimatedSize returns an estimate of the encoded size of the section in bytes.
func (s Section) EstimatedSize() int {
	const overhead = 256 // of a section, a lease or a writer, without texts and bodies

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
