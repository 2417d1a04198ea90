package journal

import "github.com/agategap/agategap/job"

// The types of this file are the records of a partition's log stream and the sections of its snapshots. Their fields
// are exported for the codec.

// AcceptRecord records a request before it is dispatched. It has no effect while there is other work under its key. The
// key is free again when that work was removed by a release or its retention is over.
type AcceptRecord struct {
	Account    string `msgpack:"account"`
	Key        string `msgpack:"key"`         // idempotency key
	Digest     string `msgpack:"digest"`      // digest of the request, hex
	Service    string `msgpack:"service"`     // service that runs the work
	Path       string `msgpack:"path"`        // path at the target
	Kind       uint8  `msgpack:"kind"`        // filter.Kind of the request
	Idempotent bool   `msgpack:"idempotent"`  // the work may be run again
	Async      bool   `msgpack:"async"`       // any daemon may run it
	Body       []byte `msgpack:"body"`        // request body, if the work is asynchronous or idempotent
	DeadlineMS int64  `msgpack:"deadline_ms"` // Unix time in milliseconds
	RetainMS   int64  `msgpack:"retain_ms"`   // how long the result stays readable
}

// ClaimRecord claims the right to dispatch accepted work. It takes effect if it names no claim to replace and none is
// in force, or if it names the claim in force and the work is idempotent.
type ClaimRecord struct {
	Account  string `msgpack:"account"`
	Key      string `msgpack:"key"`
	ID       string `msgpack:"id"`       // unique identifier of the claim
	Holder   string `msgpack:"holder"`   // VM and incarnation of the claimant
	Replaces string `msgpack:"replaces"` // identifier of the claim that it replaces; empty for none
}

// ReleaseRecord ends a claim whose holder sent nothing to a target. It removes the work as not run, so that the key may
// be used again. Asynchronous work and work whose earlier claim was replaced stay accepted.
type ReleaseRecord struct {
	Account string `msgpack:"account"`
	Key     string `msgpack:"key"`
	Claim   string `msgpack:"claim"`
}

// Effect says how accepted work ended.
type Effect uint8

const (
	// Done means that the target responded; the response is the result.
	Done Effect = iota + 1
	// Failed means that the work ended with an error. If Status is 0, the message of the error is in Text.
	Failed
	// Unknown means that the work was dispatched, must not be dispatched again, and its effect could not be determined.
	Unknown
)

// CompleteRecord ends accepted work that was claimed. Only the first one takes effect. For work that is not idempotent
// it must be under the claim in force.
type CompleteRecord struct {
	Account     string `msgpack:"account"`
	Key         string `msgpack:"key"`
	Claim       string `msgpack:"claim"`
	Effect      Effect `msgpack:"effect"`
	Status      int    `msgpack:"status"`
	ContentType string `msgpack:"content_type"`
	Body        []byte `msgpack:"body"`       // response body of a plain service
	Text        string `msgpack:"text"`       // generated text of an engine, or message of an error
	Finish      string `msgpack:"finish"`     // finish reason of an engine
	Prompt      int    `msgpack:"prompt"`     // prompt tokens
	Completion  int    `msgpack:"completion"` // completion tokens
}

// Record is one record of a group; exactly one field is set.
type Record struct {
	Accept   *AcceptRecord       `msgpack:"accept,omitempty"`
	Claim    *ClaimRecord        `msgpack:"claim,omitempty"`
	Release  *ReleaseRecord      `msgpack:"release,omitempty"`
	Complete *CompleteRecord     `msgpack:"complete,omitempty"`
	Open     *job.OpenRecord     `msgpack:"open,omitempty"`
	Items    *job.ItemsRecord    `msgpack:"items,omitempty"`
	Submit   *job.SubmitRecord   `msgpack:"submit,omitempty"`
	Lease    *job.LeaseRecord    `msgpack:"lease,omitempty"`
	Start    *job.StartRecord    `msgpack:"start,omitempty"`
	Progress *job.ProgressRecord `msgpack:"progress,omitempty"`
	Cancel   *job.CancelRecord   `msgpack:"cancel,omitempty"`
	Amend    *job.AmendRecord    `msgpack:"amend,omitempty"`
}

// Group is the content of one append.
type Group struct {
	Writer  string   `msgpack:"writer"`  // VM and incarnation
	Number  uint64   `msgpack:"number"`  // grows by one per writer and partition, from 1
	Base    int64    `msgpack:"base"`    // last offset that the writer had replayed when it formed the group
	Records []Record `msgpack:"records"` // in the order in which they are applied
}

// Section is a part of a partition's state in a snapshot; exactly one field is set.
type Section struct {
	Head    *Header            `msgpack:"head,omitempty"`
	Writers []WriterRecord     `msgpack:"writers,omitempty"`
	Work    *WorkSnapshot      `msgpack:"work,omitempty"`
	Job     *job.Snapshot      `msgpack:"job,omitempty"`
	Items   *job.ItemsRecord   `msgpack:"items,omitempty"`
	Results *job.ResultsRecord `msgpack:"results,omitempty"`
}

// Header is the first section of a partition's state.
type Header struct {
	Offset  int64 `msgpack:"offset"`  // offset of the last replayed entry
	AtMS    int64 `msgpack:"at_ms"`   // latest log time of the replayed entries, Unix milliseconds
	Evicted int64 `msgpack:"evicted"` // writers whose last group is at or below this offset were evicted
}

// WriterRecord has the number of the last group that was applied from a writer.
type WriterRecord struct {
	Name   string `msgpack:"name"`
	Number uint64 `msgpack:"number"`
	Offset int64  `msgpack:"offset"` // offset of that group
}

// WorkSnapshot is the state of accepted work in a snapshot, with its claim in force and, once it has ended, its result.
// The times are log times in Unix milliseconds. Replaced says that an earlier claim was replaced.
type WorkSnapshot struct {
	Accept      AcceptRecord    `msgpack:"accept"`
	Claim       ClaimRecord     `msgpack:"claim"`
	ClaimedAtMS int64           `msgpack:"claimed_at_ms"`
	Replaced    bool            `msgpack:"replaced"`
	Result      *CompleteRecord `msgpack:"result,omitempty"`
	EndedAtMS   int64           `msgpack:"ended_at_ms"`
}
