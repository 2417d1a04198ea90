package journal

import "github.com/agategap/agategap/job"

// The records of a partition's stream. They are wire messages: a codec fills their fields.

// AcceptRecord records a request before it is dispatched. The first record of a key counts.
type AcceptRecord struct {
	Account    string `msgpack:"account"`
	Key        string `msgpack:"key"`         // idempotency key
	Digest     string `msgpack:"digest"`      // digest of the request, hex
	Service    string `msgpack:"service"`     // service that runs the work
	Path       string `msgpack:"path"`        // path at the target
	Kind       uint8  `msgpack:"kind"`        // form of the request, as in package filter
	Idempotent bool   `msgpack:"idempotent"`  // the work may be run again
	Async      bool   `msgpack:"async"`       // any daemon may run it; Body holds the request
	Body       []byte `msgpack:"body"`        // request body of asynchronous work
	DeadlineMS int64  `msgpack:"deadline_ms"` // Unix time in milliseconds
	RetainMS   int64  `msgpack:"retain_ms"`   // how long the result stays readable
}

// ClaimRecord asks for the right to dispatch accepted work. It counts if no claim is in force, or if the work is
// idempotent and it replaces the one in force.
type ClaimRecord struct {
	Account  string `msgpack:"account"`
	Key      string `msgpack:"key"`
	ID       string `msgpack:"id"`       // unique identifier of the claim
	Holder   string `msgpack:"holder"`   // VM and incarnation of the claimant
	Replaces string `msgpack:"replaces"` // identifier of the claim that it replaces
}

// ReleaseRecord gives a claim back after nothing was sent to a target. It ends the work as not run, so that the
// key may be used again. Asynchronous work and work whose earlier claim was replaced stay accepted.
type ReleaseRecord struct {
	Account string `msgpack:"account"`
	Key     string `msgpack:"key"`
	Claim   string `msgpack:"claim"`
}

// Effect says how recorded work ended.
type Effect uint8

const (
	// Done means that the target answered; the answer is the result.
	Done Effect = iota + 1
	// Failed means that the work ended with an error after a target processed it.
	Failed
	// Unknown means that the work was dispatched once and its effect could not be found out.
	Unknown
)

// CompleteRecord ends accepted work. The first record after a claim counts.
type CompleteRecord struct {
	Account     string `msgpack:"account"`
	Key         string `msgpack:"key"`
	Claim       string `msgpack:"claim"`
	Effect      Effect `msgpack:"effect"`
	Status      int    `msgpack:"status"`
	ContentType string `msgpack:"content_type"`
	Body        []byte `msgpack:"body"`       // answer of a plain service
	Text        string `msgpack:"text"`       // generated text of an engine
	Finish      string `msgpack:"finish"`     // finish reason of an engine
	Prompt      int    `msgpack:"prompt"`     // prompt tokens
	Completion  int    `msgpack:"completion"` // completion tokens
}

// Record is one record; exactly one field is set.
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
	Base    int64    `msgpack:"base"`    // offset that the writer had replayed when it formed the group
	Records []Record `msgpack:"records"` // in order
}

// Section is one piece of a partition's state in a snapshot; exactly one field is set.
type Section struct {
	Head    *Header        `msgpack:"head,omitempty"`
	Writers []WriterRecord     `msgpack:"writers,omitempty"`
	Work    *WorkSnapshot   `msgpack:"work,omitempty"`
	Job     *job.Snapshot   `msgpack:"job,omitempty"`
	Items   *job.ItemsRecord   `msgpack:"items,omitempty"`
	Results *job.ResultsRecord `msgpack:"results,omitempty"`
}

// Header is the first section of a partition's state.
type Header struct {
	Offset  int64 `msgpack:"offset"`  // offset of the last replayed entry
	AtMS    int64 `msgpack:"at_ms"`   // log's time of that entry, Unix milliseconds
	Evicted int64 `msgpack:"evicted"` // offset up to which writers were forgotten
}

// WriterRecord is the last group number of a writer.
type WriterRecord struct {
	Name   string `msgpack:"name"`
	Number uint64 `msgpack:"number"`
	Offset int64  `msgpack:"offset"` // offset of that group
}

// WorkSnapshot is accepted work in a snapshot.
type WorkSnapshot struct {
	Accept      AcceptRecord    `msgpack:"accept"`
	Claim       ClaimRecord     `msgpack:"claim"`
	ClaimedAtMS int64     `msgpack:"claimed_at_ms"`
	Replaced    bool      `msgpack:"replaced"`
	Result      *CompleteRecord `msgpack:"result,omitempty"`
	EndedAtMS   int64     `msgpack:"ended_at_ms"`
}
