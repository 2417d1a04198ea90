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
	// Queued means that no copy of the records can be in the log.
	Queued State = iota + 1
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

type submission struct {
	ticket  Ticket
	records []journal.Record
	size  int
	abandoned   bool // given up by its submitter
}

// numberedGroup is a group that was numbered and is not replayed yet.
type numberedGroup struct {
	group   journal.Group
	submissions []submission
	offset  int64 // of a confirmed copy; 0 before
	maybeInLog    bool  // a copy may be in the log
}

func (f *numberedGroup) results(s State, offset int64) []Result {
	r := make([]Result, 0, len(f.submissions))
	for _, b := range f.submissions {
		r = append(r, Result{ticket: b.ticket, state: s, offset: offset})
	}

	return r
}

// Queue is the append queue of one writer and partition. It is not safe for concurrent use; the shard that
// holds it has the lock.
type Queue struct {
	writer    string
	limits    Limits
	lastNumber    uint64
	lastTicket    Ticket
	pendingBytes    int
	queued   []submission
	inFlight    *numberedGroup   // numbered and not confirmed
	confirmed []*numberedGroup // confirmed and not replayed, in order
	fenced    *numberedGroup   // given up and not settled
	fenceNumber     uint64    // number of the group that settles it
	sending   bool
	bucket    tokenBucket
	retryAt   time.Time
	failures  int
	reducedMaxRecords      int // records in a group after the log rejected one; 0 for the limit
}

// New returns the queue of a writer. The writer's identity is unique per process, as its numbers start at 1.
func New(writer string, l Limits) *Queue {
	return &Queue{writer: writer, limits: l}
}

// Add queues records that are appended together, and returns their ticket. weight is their size in bytes.
func (q *Queue) Add(weight int, r ...journal.Record) Ticket {
	q.lastTicket++
	q.pendingBytes += weight
	q.queued = append(q.queued, submission{ticket: q.lastTicket, records: r, size: weight})

	return q.lastTicket
}

// HasRoom reports whether weight more bytes of new work may be queued.
func (q *Queue) HasRoom(weight int) bool { return q.pendingBytes == 0 || q.pendingBytes+weight <= q.limits.queueBytes() }

// HasReservedRoom reports whether weight more bytes may be queued that belong to work accepted earlier. They may use as much
// again as new work, so that completions do not compete with the work that produces them.
func (q *Queue) HasReservedRoom(weight int) bool { return q.pendingBytes+weight <= 2*q.limits.queueBytes() }

// PendingBytes returns the bytes that are queued or not replayed yet.
func (q *Queue) PendingBytes() int { return q.pendingBytes }

// PendingCount returns the number of submissions that have not ended.
func (q *Queue) PendingCount() int {
	n := len(q.queued)
	if q.inFlight != nil {
		n += len(q.inFlight.submissions)
	}

	if q.fenced != nil {
		n += len(q.fenced.submissions)
	}

	for _, f := range q.confirmed {
		n += len(f.submissions)
	}

	return n
}

// Withdraw takes records back if no copy can be in the log, and returns the ticket's state. Records that the log
// refused every time are pending again, so they can be taken back; records that were lost cannot.
func (q *Queue) Withdraw(t Ticket) State {
	for i, b := range q.queued {
		if b.ticket == t {
			q.pendingBytes -= b.size
			q.queued = slices.Delete(q.queued, i, i+1)

			return Withdrawn
		}
	}

	if q.findNumbered(t) != nil {
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

	if b := q.findNumbered(t); b != nil {
		b.abandoned = true
	}

	q.startFence()

	return s
}

// startFence puts the group in flight aside if one of its batches was given up and a copy of it was lost.
func (q *Queue) startFence() {
	f := q.inFlight
	if f == nil || !f.maybeInLog || q.sending || q.fenced != nil || !slices.ContainsFunc(f.submissions, func(b submission) bool { return b.abandoned }) {
		return
	}

	q.fenced, q.inFlight, q.fenceNumber = f, nil, f.group.Number+1
}

func (q *Queue) findNumbered(t Ticket) *submission {
	for _, f := range append([]*numberedGroup{q.inFlight, q.fenced}, q.confirmed...) {
		if f == nil {
			continue
		}

		for i := range f.submissions {
			if f.submissions[i].ticket == t {
				return &f.submissions[i]
			}
		}
	}

	return nil
}

// Next returns the group to send at time now; base is the offset that the writer has replayed, and known says that
// the partition has a number of this writer there. When there is none it returns the time from which there may be
// one, or the zero time when nothing can be sent before the next call of another method.
func (q *Queue) Next(now time.Time, base int64, known bool) (journal.Group, bool, time.Time) {
	if q.sending || q.inFlight == nil && !q.canFormGroup(known) {
		return journal.Group{}, false, time.Time{}
	}

	if at := maxTime(q.retryAt, q.bucket.nextAt(q.limits)); now.Before(at) {
		return journal.Group{}, false, at
	}

	if q.inFlight == nil {
		q.formGroup(base)
	}

	q.sending = true
	q.bucket.consume(now, q.limits)

	return q.inFlight.group, true, time.Time{}
}

// canFormGroup reports whether a group may be formed. A group that was given up is settled first, and the first group of a
// writer that readers do not know is replayed first; otherwise records could take effect in another order than they
// were queued.
func (q *Queue) canFormGroup(known bool) bool {
	if q.fenced != nil {
		return q.lastNumber < q.fenceNumber
	}

	return len(q.queued) > 0 && (known || len(q.confirmed) == 0)
}

// formGroup makes the next group from the head of the queue. The group that settles one that was given up is empty.
func (q *Queue) formGroup(base int64) {
	if q.fenced != nil {
		q.lastNumber++
		q.inFlight = &numberedGroup{group: journal.Group{Writer: q.writer, Number: q.lastNumber, Base: base}}

		return
	}

	most := q.limits.groupRecords()
	if q.reducedMaxRecords > 0 {
		most = min(most, q.reducedMaxRecords)
	}

	n, records, weight := 0, 0, 0
	for n < len(q.queued) {
		b := q.queued[n]
		if n > 0 && (records+len(b.records) > most || weight+b.size > q.limits.groupBytes()) {
			break
		}

		records += len(b.records)
		weight += b.size
		n++
	}

	f := &numberedGroup{submissions: slices.Clone(q.queued[:n])}
	q.queued = slices.Clone(q.queued[n:])
	q.lastNumber++

	f.group = journal.Group{Writer: q.writer, Number: q.lastNumber, Base: base, Records: make([]journal.Record, 0, records)}
	for _, b := range f.submissions {
		f.group.Records = append(f.group.Records, b.records...)
	}

	q.inFlight = f
}

// undoGroup puts the group in flight, of which no copy can be in the log, back to the head of the queue. Its number is
// used again.
func (q *Queue) undoGroup() {
	q.requeue(q.inFlight)
	q.inFlight = nil
	q.lastNumber--
}

func (q *Queue) requeue(f *numberedGroup) {
	q.queued = append(slices.Clone(f.submissions), q.queued...)
}

// HandleConfirmed reports that the group in flight is in the log at an offset. Its tickets end when it is replayed.
func (q *Queue) HandleConfirmed(offset int64) {
	q.sending, q.failures = false, 0

	if q.reducedMaxRecords *= 2; q.reducedMaxRecords >= q.limits.groupRecords() {
		q.reducedMaxRecords = 0
	}

	if q.inFlight == nil {
		return
	}

	q.inFlight.offset = offset
	q.confirmed = append(q.confirmed, q.inFlight)
	q.inFlight = nil
}

// HandleRefused reports that the log did not take the group. Unless an earlier copy was lost its records are pending
// again, so that the next group carries what was queued meanwhile.
func (q *Queue) HandleRefused(now time.Time) {
	q.scheduleRetry(now)

	if q.inFlight != nil && !q.inFlight.maybeInLog {
		q.undoGroup()

		return
	}

	q.startFence()
}

// HandleLost reports that nothing is known of the group in flight. It is sent again with the same number.
func (q *Queue) HandleLost(now time.Time) {
	q.scheduleRetry(now)

	if q.inFlight != nil {
		q.inFlight.maybeInLog = true
		q.startFence()
	}
}

// HandleRejected reports that the log can never take the group, such as when it is too large. It is sent again in smaller
// groups; records that were alone in their group end.
func (q *Queue) HandleRejected(now time.Time) []Result {
	q.scheduleRetry(now)

	f := q.inFlight
	if f == nil || f.maybeInLog {
		return nil
	}

	if len(f.submissions) > 1 {
		q.undoGroup()
		q.reducedMaxRecords = max(1, len(f.group.Records)/2) //nolint:mnd // halves the group

		return nil
	}

	q.inFlight = nil
	q.lastNumber--

	return q.endGroup(f, Rejected, 0)
}

func (q *Queue) endGroup(f *numberedGroup, s State, offset int64) []Result {
	for _, b := range f.submissions {
		q.pendingBytes -= b.size
	}

	return f.results(s, offset)
}

// HandleReplayed reports that the replay reached a group with a number of this writer at an offset; last is the number
// that the partition then has for the writer. It returns the tickets that ended.
func (q *Queue) HandleReplayed(number uint64, offset int64, last uint64) []Result {
	var r []Result

	if last < number {
		q.requeueIgnored(number)

		return nil
	}

	if f := q.fenced; f != nil && number >= f.group.Number {
		q.fenced = nil

		if number == f.group.Number {
			r = append(r, q.endGroup(f, Confirmed, offset)...)
		} else {
			r = append(r, q.endFenced(f)...)
		}
	}

	for len(q.confirmed) > 0 && q.confirmed[0].group.Number <= number {
		f := q.confirmed[0]
		q.confirmed = q.confirmed[1:]
		r = append(r, q.endGroup(f, confirmedIf(f.group.Number == number), offset)...)
	}

	if f := q.inFlight; f != nil && f.group.Number == number {
		q.inFlight = nil
		r = append(r, q.endGroup(f, Confirmed, offset)...)
	}

	return r
}

// endFenced ends a group that can never take effect: what was given up is withdrawn, the rest is queued again.
func (q *Queue) endFenced(f *numberedGroup) []Result {
	var r []Result

	f.submissions = slices.DeleteFunc(f.submissions, func(b submission) bool {
		if b.abandoned {
			q.pendingBytes -= b.size
			r = append(r, Result{ticket: b.ticket, state: Withdrawn})
		}

		return b.abandoned
	})

	q.requeue(f)

	return r
}

// requeueIgnored queues the records of a group once more that readers ignored because they forgot this writer. Another copy
// of that group is ignored for the same reason.
func (q *Queue) requeueIgnored(number uint64) {
	if f := q.inFlight; f != nil && f.group.Number == number {
		q.inFlight = nil
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

// HandleRestored reports that the replay went on from a snapshot at an offset, in which last is the number of this
// writer; 0 when it has none. It returns the tickets that ended.
func (q *Queue) HandleRestored(offset int64, last uint64) []Result {
	var r []Result

	if f := q.fenced; f != nil && (last >= f.group.Number || last == 0) {
		q.fenced = nil
		r = append(r, q.endGroup(f, confirmedIf(last == f.group.Number), offset)...)
	}

	for len(q.confirmed) > 0 && q.confirmed[0].offset <= offset {
		f := q.confirmed[0]
		q.confirmed = q.confirmed[1:]
		r = append(r, q.endGroup(f, confirmedIf(last >= f.group.Number), offset)...)
	}

	// A snapshot without this writer may have forgotten it behind a copy of the group.
	if f := q.inFlight; f != nil && (last >= f.group.Number || last == 0 && f.maybeInLog) {
		q.inFlight = nil
		r = append(r, q.endGroup(f, confirmedIf(last >= f.group.Number), offset)...)
	}

	return r
}

func confirmedIf(applied bool) State {
	if applied {
		return Confirmed
	}

	return Unknown
}

func (q *Queue) scheduleRetry(now time.Time) {
	const most = 6

	q.sending = false
	q.retryAt = now.Add(min(minRetryDelay<<min(q.failures, most), maxRetryDelay))
	q.failures++
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}
