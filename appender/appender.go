// Package appender decides what a writer appends to a partition's stream: it collects records into groups,
// numbers them and keeps one append in flight. An append whose response was lost is sent again with the same
// number; readers ignore a number that they have seen, so a second copy has no effect.
package appender

import (
	"slices"
	"time"

	"github.com/agategap/agategap/journal"
)

// Ticket identifies submitted records.
type Ticket uint64

// State is what is known of a ticket.
type State uint8

const (
	// Waiting means that no copy of the records can be in the log.
	Waiting State = iota + 1
	// Sent means that a copy was sent and may be in the log.
	Sent
	// Confirmed means that the records are in the log and were replayed.
	Confirmed
	// Withdrawn means that the records were taken back and can never be in the log.
	Withdrawn
	// Rejected means that the log never takes the records, such as when they are too large.
	Rejected
	// Unknown means that it cannot be found out any more whether the records took effect.
	Unknown
)

// Result is the end of a ticket.
type Result struct {
	ticket Ticket
	state  State
	offset int64
}

// Ticket returns the ticket that ended.
func (r Result) Ticket() Ticket { return r.ticket }

// State returns how it ended: Confirmed, Withdrawn, Rejected or Unknown.
func (r Result) State() State { return r.state }

// Offset returns the offset of the group that carries the records; 0 unless it is Confirmed.
func (r Result) Offset() int64 { return r.offset }

type batch struct {
	ticket  Ticket
	records []journal.Record
	weight  int
	given   bool // given up by its submitter
}

// flight is a group that was numbered and is not replayed yet.
type flight struct {
	group   journal.Group
	batches []batch
	offset  int64 // of a confirmed copy; 0 before
	lost    bool  // a copy may be in the log
}

func (f *flight) results(s State, offset int64) []Result {
	r := make([]Result, 0, len(f.batches))
	for _, b := range f.batches {
		r = append(r, Result{ticket: b.ticket, state: s, offset: offset})
	}

	return r
}

// Queue is the append queue of one writer and partition. It is not safe for concurrent use; the shard that
// holds it has the lock.
type Queue struct {
	writer    string
	limits    Limits
	number    uint64
	ticket    Ticket
	weight    int
	pending   []batch
	flight    *flight   // numbered and not confirmed
	confirmed []*flight // confirmed and not replayed, in order
	fenced    *flight   // given up and not settled
	fence     uint64    // number of the group that settles it
	sending   bool
	bucket    bucket
	retryAt   time.Time
	failures  int
	most      int // records in a group after the log rejected one; 0 for the limit
}

// New returns the queue of a writer. The writer's identity is unique per process, as its numbers start at 1.
func New(writer string, l Limits) *Queue {
	return &Queue{writer: writer, limits: l}
}

// Add queues records that are appended together, and returns their ticket. weight is their size in bytes.
func (q *Queue) Add(weight int, r ...journal.Record) Ticket {
	q.ticket++
	q.weight += weight
	q.pending = append(q.pending, batch{ticket: q.ticket, records: r, weight: weight})

	return q.ticket
}

// Room reports whether weight more bytes of new work may be queued.
func (q *Queue) Room(weight int) bool { return q.weight == 0 || q.weight+weight <= q.limits.queue() }

// Reserve reports whether weight more bytes may be queued that belong to work accepted earlier. They may use as much
// again as new work, so that completions do not compete with the work that produces them.
func (q *Queue) Reserve(weight int) bool { return q.weight+weight <= 2*q.limits.queue() }

// Weight returns the bytes that are queued or not replayed yet.
func (q *Queue) Weight() int { return q.weight }

// Pending returns the number of submissions that have not ended.
func (q *Queue) Pending() int {
	n := len(q.pending)
	if q.flight != nil {
		n += len(q.flight.batches)
	}

	if q.fenced != nil {
		n += len(q.fenced.batches)
	}

	for _, f := range q.confirmed {
		n += len(f.batches)
	}

	return n
}

// Withdraw takes records back if no copy can be in the log, and returns the ticket's state. Records that the log
// refused every time are pending again, so they can be taken back; records that were lost cannot.
func (q *Queue) Withdraw(t Ticket) State {
	for i, b := range q.pending {
		if b.ticket == t {
			q.weight -= b.weight
			q.pending = slices.Delete(q.pending, i, i+1)

			return Withdrawn
		}
	}

	if q.find(t) != nil {
		return Sent
	}

	return Confirmed
}

// Abandon gives records up. When a copy was lost, the next group gets a later number and settles whether the copy
// took effect: the ticket then ends as Confirmed or Withdrawn. The state is that of Withdraw.
func (q *Queue) Abandon(t Ticket) State {
	s := q.Withdraw(t)
	if s != Sent {
		return s
	}

	if b := q.find(t); b != nil {
		b.given = true
	}

	q.startFence()

	return s
}

// startFence puts the group in flight aside if one of its batches was given up and a copy of it was lost.
func (q *Queue) startFence() {
	f := q.flight
	if f == nil || !f.lost || q.sending || q.fenced != nil || !slices.ContainsFunc(f.batches, func(b batch) bool { return b.given }) {
		return
	}

	q.fenced, q.flight, q.fence = f, nil, f.group.Number+1
}

func (q *Queue) find(t Ticket) *batch {
	for _, f := range append([]*flight{q.flight, q.fenced}, q.confirmed...) {
		if f == nil {
			continue
		}

		for i := range f.batches {
			if f.batches[i].ticket == t {
				return &f.batches[i]
			}
		}
	}

	return nil
}

// Next returns the group to send at time now; base is the offset that the writer has replayed, and known says that
// the partition has a number of this writer there. When there is none it returns the time from which there may be
// one, or the zero time when nothing can be sent before the next call of another method.
func (q *Queue) Next(now time.Time, base int64, known bool) (journal.Group, bool, time.Time) {
	if q.sending || q.flight == nil && !q.ready(known) {
		return journal.Group{}, false, time.Time{}
	}

	if at := later(q.retryAt, q.bucket.at(q.limits)); now.Before(at) {
		return journal.Group{}, false, at
	}

	if q.flight == nil {
		q.form(base)
	}

	q.sending = true
	q.bucket.take(now, q.limits)

	return q.flight.group, true, time.Time{}
}

// ready reports whether a group may be formed. A group that was given up is settled first, and the first group of a
// writer that readers do not know is replayed first; otherwise records could take effect in another order than they
// were queued.
func (q *Queue) ready(known bool) bool {
	if q.fenced != nil {
		return q.number < q.fence
	}

	return len(q.pending) > 0 && (known || len(q.confirmed) == 0)
}

// form makes the next group from the head of the queue. The group that settles one that was given up is empty.
func (q *Queue) form(base int64) {
	if q.fenced != nil {
		q.number++
		q.flight = &flight{group: journal.Group{Writer: q.writer, Number: q.number, Base: base}}

		return
	}

	most := q.limits.records()
	if q.most > 0 {
		most = min(most, q.most)
	}

	n, records, weight := 0, 0, 0
	for n < len(q.pending) {
		b := q.pending[n]
		if n > 0 && (records+len(b.records) > most || weight+b.weight > q.limits.weight()) {
			break
		}

		records += len(b.records)
		weight += b.weight
		n++
	}

	f := &flight{batches: slices.Clone(q.pending[:n])}
	q.pending = slices.Clone(q.pending[n:])
	q.number++

	f.group = journal.Group{Writer: q.writer, Number: q.number, Base: base, Records: make([]journal.Record, 0, records)}
	for _, b := range f.batches {
		f.group.Records = append(f.group.Records, b.records...)
	}

	q.flight = f
}

// unform puts the group in flight, of which no copy can be in the log, back to the head of the queue. Its number is
// used again.
func (q *Queue) unform() {
	q.requeue(q.flight)
	q.flight = nil
	q.number--
}

func (q *Queue) requeue(f *flight) {
	q.pending = append(slices.Clone(f.batches), q.pending...)
}

// Confirmed reports that the group in flight is in the log at an offset. Its tickets end when it is replayed.
func (q *Queue) Confirmed(offset int64) {
	q.sending, q.failures = false, 0

	if q.most *= 2; q.most >= q.limits.records() {
		q.most = 0
	}

	if q.flight == nil {
		return
	}

	q.flight.offset = offset
	q.confirmed = append(q.confirmed, q.flight)
	q.flight = nil
}

// Refused reports that the log did not take the group. Unless an earlier copy was lost its records are pending
// again, so that the next group carries what was queued meanwhile.
func (q *Queue) Refused(now time.Time) {
	q.retry(now)

	if q.flight != nil && !q.flight.lost {
		q.unform()

		return
	}

	q.startFence()
}

// Lost reports that nothing is known of the group in flight. It is sent again with the same number.
func (q *Queue) Lost(now time.Time) {
	q.retry(now)

	if q.flight != nil {
		q.flight.lost = true
		q.startFence()
	}
}

// Rejected reports that the log can never take the group, such as when it is too large. It is sent again in smaller
// groups; records that were alone in their group end.
func (q *Queue) Rejected(now time.Time) []Result {
	q.retry(now)

	f := q.flight
	if f == nil || f.lost {
		return nil
	}

	if len(f.batches) > 1 {
		q.unform()
		q.most = max(1, len(f.group.Records)/2) //nolint:mnd // halves the group

		return nil
	}

	q.flight = nil
	q.number--

	return q.end(f, Rejected, 0)
}

func (q *Queue) end(f *flight, s State, offset int64) []Result {
	for _, b := range f.batches {
		q.weight -= b.weight
	}

	return f.results(s, offset)
}

// Replayed reports that the replay reached a group with a number of this writer at an offset; last is the number
// that the partition then has for the writer. It returns the tickets that ended.
func (q *Queue) Replayed(number uint64, offset int64, last uint64) []Result {
	var r []Result

	if last < number {
		q.again(number)

		return nil
	}

	if f := q.fenced; f != nil && number >= f.group.Number {
		q.fenced = nil

		if number == f.group.Number {
			r = append(r, q.end(f, Confirmed, offset)...)
		} else {
			r = append(r, q.settle(f)...)
		}
	}

	for len(q.confirmed) > 0 && q.confirmed[0].group.Number <= number {
		f := q.confirmed[0]
		q.confirmed = q.confirmed[1:]
		r = append(r, q.end(f, known(f.group.Number == number), offset)...)
	}

	if f := q.flight; f != nil && f.group.Number == number {
		q.flight = nil
		r = append(r, q.end(f, Confirmed, offset)...)
	}

	return r
}

// settle ends a group that can never take effect: what was given up is withdrawn, the rest is queued again.
func (q *Queue) settle(f *flight) []Result {
	var r []Result

	f.batches = slices.DeleteFunc(f.batches, func(b batch) bool {
		if b.given {
			q.weight -= b.weight
			r = append(r, Result{ticket: b.ticket, state: Withdrawn})
		}

		return b.given
	})

	q.requeue(f)

	return r
}

// again queues the records of a group once more that readers ignored because they forgot this writer. Another copy
// of that group is ignored for the same reason.
func (q *Queue) again(number uint64) {
	if f := q.flight; f != nil && f.group.Number == number {
		q.flight = nil
		q.requeue(f)
	}

	for i, f := range q.confirmed {
		if f.group.Number == number {
			q.confirmed = slices.Delete(q.confirmed, i, i+1)
			q.requeue(f)

			return
		}
	}
}

// Restored reports that the replay went on from a snapshot at an offset, in which last is the number of this
// writer; 0 when it has none. It returns the tickets that ended.
func (q *Queue) Restored(offset int64, last uint64) []Result {
	var r []Result

	if f := q.fenced; f != nil && (last >= f.group.Number || last == 0) {
		q.fenced = nil
		r = append(r, q.end(f, known(last == f.group.Number), offset)...)
	}

	for len(q.confirmed) > 0 && q.confirmed[0].offset <= offset {
		f := q.confirmed[0]
		q.confirmed = q.confirmed[1:]
		r = append(r, q.end(f, known(last >= f.group.Number), offset)...)
	}

	// A snapshot without this writer may have forgotten it behind a copy of the group.
	if f := q.flight; f != nil && (last >= f.group.Number || last == 0 && f.lost) {
		q.flight = nil
		r = append(r, q.end(f, known(last >= f.group.Number), offset)...)
	}

	return r
}

func known(applied bool) State {
	if applied {
		return Confirmed
	}

	return Unknown
}

func (q *Queue) retry(now time.Time) {
	const most = 6

	q.sending = false
	q.retryAt = now.Add(min(retryBase<<min(q.failures, most), retryMost))
	q.failures++
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}
