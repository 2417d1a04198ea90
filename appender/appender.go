// Package appender implements the group commit of a writer to the log stream of a partition. It collects records into
// numbered groups, keeps one append in flight, and decides when to retry it. A group whose response was lost is sent
// again under the same number, and readers ignore numbers that they have already applied, so duplicates have no effect.
// Package store sends the groups and reports the events of the log and of the replay.
package appender

import (
	"slices"
	"time"

	"github.com/agategap/agategap/journal"
)

// Ticket identifies one submission to a Queue.
type Ticket uint64

// State says what is known about the records of a ticket.
type State uint8

const (
	// Queued means that no copy of the records can be in the log.
	Queued State = iota + 1
	// Sent means that the records are in a group that was sent and may be in the log.
	Sent
	// Confirmed means that the records are in the log and were replayed. Withdraw and Abandon also return it for every
	// ticket that has ended.
	Confirmed
	// Withdrawn means that the records have not taken effect and never will.
	Withdrawn
	// Rejected means that the log will never accept the records, for example because they are too large.
	Rejected
	// Unknown means that it can no longer be determined whether the records took effect.
	Unknown
)

// Result says how a ticket ended.
type Result struct {
	ticket Ticket
	state  State
	offset int64
}

// Ticket returns the ticket that ended.
func (r Result) Ticket() Ticket { return r.ticket }

// State returns the final state: Confirmed, Withdrawn, Rejected or Unknown.
func (r Result) State() State { return r.state }

// Offset returns the log offset at which a Confirmed ticket ended: that of its replayed group or, after a restore, that
// of the snapshot. It has no meaning for other states.
func (r Result) Offset() int64 { return r.offset }

// submission has the records of one call of Add. They are never split over two groups.
type submission struct {
	ticket    Ticket
	records   []journal.Record
	size      int // estimated, in bytes
	abandoned bool
}

// numberedGroup is a group that was given a number and was not replayed yet.
type numberedGroup struct {
	group       journal.Group
	submissions []submission
	offset      int64 // log offset once the append is confirmed; 0 before
	maybeInLog  bool  // the response to an append was lost, so a copy may be in the log
}

func (g *numberedGroup) results(s State, offset int64) []Result {
	r := make([]Result, 0, len(g.submissions))
	for _, v := range g.submissions {
		r = append(r, Result{ticket: v.ticket, state: s, offset: offset})
	}

	return r
}

// Queue is the append queue of one writer for one partition. It is not safe for concurrent use; package store calls it
// under the lock of the partition.
type Queue struct {
	writer            string
	limits            Limits
	lastNumber        uint64
	lastTicket        Ticket
	pendingBytes      int
	queued            []submission
	inFlight          *numberedGroup   // numbered and not confirmed
	confirmed         []*numberedGroup // confirmed and not replayed, in order
	fenced            *numberedGroup   // has abandoned records and may be in the log
	fenceNumber       uint64           // number of the empty group whose replay decides whether fenced took effect
	sending           bool
	bucket            tokenBucket
	retryAt           time.Time
	failures          int
	reducedMaxRecords int // maximum records of a group after the log rejected a larger one; 0 for limits.groupRecords
}

// New returns the queue of a writer. The identity of the writer must be unique per process, as its group numbers start
// at 1.
func New(writer string, l Limits) *Queue {
	return &Queue{writer: writer, limits: l}
}

// Add queues records that are appended in the same group, and returns their ticket. size is their estimated size in
// bytes.
func (q *Queue) Add(size int, r ...journal.Record) Ticket {
	q.lastTicket++
	q.pendingBytes += size
	q.queued = append(q.queued, submission{ticket: q.lastTicket, records: r, size: size})

	return q.lastTicket
}

// HasRoom reports whether size more bytes of new work may be queued. An empty queue has room for any size.
func (q *Queue) HasRoom(size int) bool {
	return q.pendingBytes == 0 || q.pendingBytes+size <= q.limits.queueBytes()
}

// HasReservedRoom reports whether size more bytes may be queued for work that was accepted earlier. Its limit is twice
// that of new work, so that completions do not compete for room with the work that produces them.
func (q *Queue) HasReservedRoom(size int) bool { return q.pendingBytes+size <= 2*q.limits.queueBytes() }

// PendingBytes returns the size of the submissions that have not ended, in bytes.
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

	for _, g := range q.confirmed {
		n += len(g.submissions)
	}

	return n
}

// Withdraw removes records from the queue if no copy can be in the log, and returns the state of the ticket: Withdrawn,
// Sent or Confirmed. Records that the log refused each time are queued again and can be withdrawn; records whose append
// is in flight or was lost cannot. A ticket that has ended is reported as Confirmed, however it ended.
func (q *Queue) Withdraw(t Ticket) State {
	for i, v := range q.queued {
		if v.ticket == t {
			q.pendingBytes -= v.size
			q.queued = slices.Delete(q.queued, i, i+1)

			return Withdrawn
		}
	}

	if q.findNumbered(t) != nil {
		return Sent
	}

	return Confirmed
}

// Abandon withdraws records that are no longer needed, and returns the state as Withdraw does. If the append of their
// group was lost, an empty group with the next number is sent. Readers ignore the lost group after that number, so the
// replay of the empty group decides whether the ticket ends as Confirmed or as Withdrawn.
func (q *Queue) Abandon(t Ticket) State {
	s := q.Withdraw(t)
	if s != Sent {
		return s
	}

	if v := q.findNumbered(t); v != nil {
		v.abandoned = true
	}

	q.startFence()

	return s
}

// startFence makes the group in flight the fenced group if it may be in the log and one of its submissions was
// abandoned. It does nothing while the group is being sent or another group is fenced.
func (q *Queue) startFence() {
	g := q.inFlight
	if g == nil || !g.maybeInLog || q.sending || q.fenced != nil || !slices.ContainsFunc(g.submissions, func(v submission) bool { return v.abandoned }) {
		return
	}

	q.fenced, q.inFlight, q.fenceNumber = g, nil, g.group.Number+1
}

// findNumbered returns the submission of a ticket if it is in a numbered group.
func (q *Queue) findNumbered(t Ticket) *submission {
	for _, g := range append([]*numberedGroup{q.inFlight, q.fenced}, q.confirmed...) {
		if g == nil {
			continue
		}

		for i := range g.submissions {
			if g.submissions[i].ticket == t {
				return &g.submissions[i]
			}
		}
	}

	return nil
}

// Next returns the group to send at time now. base is the last offset that the writer has replayed, and writerKnown
// says that readers at that offset know the writer: one of its groups was applied and it was not evicted since. If
// there is no group to send, Next returns false and the time from which there may be one, or the zero time if nothing
// can be sent until another method is called.
func (q *Queue) Next(now time.Time, base int64, writerKnown bool) (journal.Group, bool, time.Time) {
	if q.sending || q.inFlight == nil && !q.canFormGroup(writerKnown) {
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

// canFormGroup reports whether a group may be formed. While there is a fenced group, only the empty group that decides
// about it may be formed. The first group of a writer that readers do not know must be replayed before the next one is
// formed, as readers may ignore it. Otherwise records could take effect in another order than they were queued.
func (q *Queue) canFormGroup(writerKnown bool) bool {
	if q.fenced != nil {
		return q.lastNumber < q.fenceNumber
	}

	return len(q.queued) > 0 && (writerKnown || len(q.confirmed) == 0)
}

// formGroup forms the next group from the head of the queue, or an empty group if there is a fenced one.
func (q *Queue) formGroup(base int64) {
	if q.fenced != nil {
		q.lastNumber++
		q.inFlight = &numberedGroup{group: journal.Group{Writer: q.writer, Number: q.lastNumber, Base: base}}

		return
	}

	maxRecords := q.limits.groupRecords()
	if q.reducedMaxRecords > 0 {
		maxRecords = min(maxRecords, q.reducedMaxRecords)
	}

	n, records, size := 0, 0, 0
	for n < len(q.queued) {
		v := q.queued[n]
		if n > 0 && (records+len(v.records) > maxRecords || size+v.size > q.limits.groupBytes()) {
			break
		}

		records += len(v.records)
		size += v.size
		n++
	}

	g := &numberedGroup{submissions: slices.Clone(q.queued[:n])}
	q.queued = slices.Clone(q.queued[n:])
	q.lastNumber++

	g.group = journal.Group{Writer: q.writer, Number: q.lastNumber, Base: base, Records: make([]journal.Record, 0, records)}
	for _, v := range g.submissions {
		g.group.Records = append(g.group.Records, v.records...)
	}

	q.inFlight = g
}

// undoGroup returns the records of the group in flight to the head of the queue. As its number is used again, there
// must be no copy of the group in the log.
func (q *Queue) undoGroup() {
	q.requeue(q.inFlight)
	q.inFlight = nil
	q.lastNumber--
}

func (q *Queue) requeue(g *numberedGroup) {
	q.queued = append(slices.Clone(g.submissions), q.queued...)
}

// HandleConfirmed is called when the log has confirmed the append of the group in flight at an offset. The tickets of
// the group end when it is replayed. Each confirmed append doubles a limit that HandleRejected has reduced.
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

// HandleRefused is called when the log has not accepted the group in flight. Unless an earlier append of it was lost,
// its records are queued again, so that the next group also carries what was queued in the meantime.
func (q *Queue) HandleRefused(now time.Time) {
	q.scheduleRetry(now)

	if q.inFlight != nil && !q.inFlight.maybeInLog {
		q.undoGroup()

		return
	}

	q.startFence()
}

// HandleLost is called when it is not known whether the group in flight is in the log. It is sent again under the same
// number.
func (q *Queue) HandleLost(now time.Time) {
	q.scheduleRetry(now)

	if q.inFlight != nil {
		q.inFlight.maybeInLog = true
		q.startFence()
	}
}

// HandleRejected is called when the log will never accept the group in flight, for example because it is too large. Its
// submissions are queued again for smaller groups; a submission that was alone in the group ends as Rejected. A group
// that may be in the log after an earlier append is sent again unchanged. HandleRejected returns the tickets that
// ended.
func (q *Queue) HandleRejected(now time.Time) []Result {
	q.scheduleRetry(now)

	g := q.inFlight
	if g == nil || g.maybeInLog {
		return nil
	}

	if len(g.submissions) > 1 {
		q.undoGroup()
		q.reducedMaxRecords = max(1, len(g.group.Records)/2) //nolint:mnd // halves the group

		return nil
	}

	q.inFlight = nil
	q.lastNumber--

	return q.endGroup(g, Rejected, 0)
}

// endGroup removes the size of a group from the pending bytes and returns the results of its tickets.
func (q *Queue) endGroup(g *numberedGroup, s State, offset int64) []Result {
	for _, v := range g.submissions {
		q.pendingBytes -= v.size
	}

	return g.results(s, offset)
}

// HandleReplayed is called when the replay has passed a group of this writer at an offset. lastApplied is the number of
// the last group of the writer that was applied by then; it is below number if the group was ignored. HandleReplayed
// returns the tickets that ended.
func (q *Queue) HandleReplayed(number uint64, offset int64, lastApplied uint64) []Result {
	var r []Result

	if lastApplied < number {
		q.requeueIgnored(number)

		return nil
	}

	if g := q.fenced; g != nil && number >= g.group.Number {
		q.fenced = nil

		if number == g.group.Number {
			r = append(r, q.endGroup(g, Confirmed, offset)...)
		} else {
			r = append(r, q.endFenced(g)...)
		}
	}

	for len(q.confirmed) > 0 && q.confirmed[0].group.Number <= number {
		g := q.confirmed[0]
		q.confirmed = q.confirmed[1:]
		r = append(r, q.endGroup(g, confirmedIf(g.group.Number == number), offset)...)
	}

	if g := q.inFlight; g != nil && g.group.Number == number {
		q.inFlight = nil
		r = append(r, q.endGroup(g, Confirmed, offset)...)
	}

	return r
}

// endFenced ends a fenced group that can no longer take effect. Its abandoned submissions end as Withdrawn, the others
// are queued again.
func (q *Queue) endFenced(g *numberedGroup) []Result {
	var r []Result

	g.submissions = slices.DeleteFunc(g.submissions, func(v submission) bool {
		if v.abandoned {
			q.pendingBytes -= v.size
			r = append(r, Result{ticket: v.ticket, state: Withdrawn})
		}

		return v.abandoned
	})

	q.requeue(g)

	return r
}

// requeueIgnored queues the records of a group again that readers ignored because they had evicted this writer. Any
// other copy of that group is ignored for the same reason.
func (q *Queue) requeueIgnored(number uint64) {
	if g := q.inFlight; g != nil && g.group.Number == number {
		q.inFlight = nil
		q.requeue(g)
	}

	for i, g := range q.confirmed {
		if g.group.Number == number {
			q.confirmed = slices.Delete(q.confirmed, i, i+1)
			q.requeue(g)

			return
		}
	}
}

// HandleRestored is called when the replay has continued from a snapshot at an offset. lastApplied is the number of the
// last group of this writer that the snapshot covers; 0 if it does not know the writer. HandleRestored returns the
// tickets that ended.
func (q *Queue) HandleRestored(offset int64, lastApplied uint64) []Result {
	var r []Result

	if g := q.fenced; g != nil && (lastApplied >= g.group.Number || lastApplied == 0) {
		q.fenced = nil
		r = append(r, q.endGroup(g, confirmedIf(lastApplied == g.group.Number), offset)...)
	}

	for len(q.confirmed) > 0 && q.confirmed[0].offset <= offset {
		g := q.confirmed[0]
		q.confirmed = q.confirmed[1:]
		r = append(r, q.endGroup(g, confirmedIf(lastApplied >= g.group.Number), offset)...)
	}

	// If the snapshot does not know the writer, the writer may have been evicted after a copy of the group was applied.
	if g := q.inFlight; g != nil && (lastApplied >= g.group.Number || lastApplied == 0 && g.maybeInLog) {
		q.inFlight = nil
		r = append(r, q.endGroup(g, confirmedIf(lastApplied >= g.group.Number), offset)...)
	}

	return r
}

// confirmedIf returns Confirmed if a group was applied, and Unknown otherwise.
func confirmedIf(applied bool) State {
	if applied {
		return Confirmed
	}

	return Unknown
}

func (q *Queue) scheduleRetry(now time.Time) {
	const maxDoublings = 6

	q.sending = false
	q.retryAt = now.Add(min(minRetryDelay<<min(q.failures, maxDoublings), maxRetryDelay))
	q.failures++
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}
