package controller

import (
	"time"

	"github.com/agategap/agategap/config"
	"github.com/agategap/agategap/job"
	"github.com/agategap/agategap/journal"
	"github.com/agategap/agategap/outcome"
)

// The wire messages of the net/rpc services Journal and Job follow. The codec fills their fields.

// Failure is an outcome.Error in a reply.
type Failure struct {
	Code         string `msgpack:"code"` // empty for no error
	Effect       string `msgpack:"effect"`
	Message      string `msgpack:"message"`
	RetryAfterMS int64  `msgpack:"retry_after_ms"`
}

// SubmitArgs has the arguments of Journal.Submit, which appends records to a partition.
type SubmitArgs struct {
	Partition int              `msgpack:"partition"`
	Records   []journal.Record `msgpack:"records"`
	Account   string           `msgpack:"account"` // account and key of the work to return; empty for none
	Key       string           `msgpack:"key"`
	WaitMS    int64            `msgpack:"wait_ms"` // bound on the wait for the log
}

// LookupArgs has the arguments of Journal.Lookup, which returns accepted work.
type LookupArgs struct {
	Account string `msgpack:"account"`
	Key     string `msgpack:"key"`
	Await   bool   `msgpack:"await"` // wait until the work has ended, instead of syncing with the log
	WaitMS  int64  `msgpack:"wait_ms"`
}

// WorkReply is the reply of Journal.Submit and Journal.Lookup.
type WorkReply struct {
	Failure     Failure                `msgpack:"failure"`
	Found       bool                   `msgpack:"found"`
	Accept      journal.AcceptRecord   `msgpack:"accept"`
	Claim       journal.ClaimRecord    `msgpack:"claim"`
	ClaimedAtMS int64                  `msgpack:"claimed_at_ms"`
	Result      journal.CompleteRecord `msgpack:"result"`
	Ended       bool                   `msgpack:"ended"`
}

// ViewArgs has the arguments of Job.View, which returns the state of a job.
type ViewArgs struct {
	Account string `msgpack:"account"`
	Job     string `msgpack:"job"`
	Results bool   `msgpack:"results"` // return a page of results as well
	From    int    `msgpack:"from"`    // first item whose result is returned
	WaitMS  int64  `msgpack:"wait_ms"`
}

// ViewReply is the reply of Job.View.
type ViewReply struct {
	Failure Failure          `msgpack:"failure"`
	Status  job.Status       `msgpack:"status"`
	Lines   []job.ItemResult `msgpack:"lines"`
	Next    int              `msgpack:"next"` // first item of the next page; the number of items after the last page
}

// PullArgs has the arguments of Job.Pull, which asks the writer of a partition for shards to run.
type PullArgs struct {
	Partition int            `msgpack:"partition"`
	Domain    string         `msgpack:"domain"`   // failure domain of the requesting daemon
	Holder    string         `msgpack:"holder"`   // VM and incarnation of the requesting daemon
	Capacity  int            `msgpack:"capacity"` // items that it can run now
	Held      []job.ShardRef `msgpack:"held"`     // shards of the partition that it runs
	Refused   []string       `msgpack:"refused"`  // jobs that an operator stopped at the requesting daemon
	WaitMS    int64          `msgpack:"wait_ms"`
}

// PullReply is the reply of Job.Pull.
type PullReply struct {
	Failure Failure           `msgpack:"failure"`
	Shards  []job.LeasedShard `msgpack:"shards"` // without their items
}

// ItemsArgs has the arguments of Job.Items, which returns the pending items of a leased shard.
type ItemsArgs struct {
	Partition int    `msgpack:"partition"`
	Job       string `msgpack:"job"`
	Shard     int    `msgpack:"shard"`
	Lease     int64  `msgpack:"lease"`
	From      int    `msgpack:"from"` // index of the first item to return
}

// ItemsReply is the reply of Job.Items.
type ItemsReply struct {
	Failure Failure         `msgpack:"failure"`
	Items   []job.ShardItem `msgpack:"items"`
	Next    int             `msgpack:"next"` // first index of the next page; 0 after the last one
}

// StartArgs has the arguments of Job.Start, which records that items are about to be dispatched.
type StartArgs struct {
	Partition int    `msgpack:"partition"`
	Job       string `msgpack:"job"`
	Shard     int    `msgpack:"shard"`
	Lease     int64  `msgpack:"lease"`
	Items     []byte `msgpack:"items"` // serialized roaring bitmap of item indexes
	WaitMS    int64  `msgpack:"wait_ms"`
}

// ReportArgs has the arguments of Job.Report, which records the results of items and renews a lease.
type ReportArgs struct {
	Partition int        `msgpack:"partition"`
	Report    job.Report `msgpack:"report"`
	WaitMS    int64      `msgpack:"wait_ms"`
}

// RenewalReply is the reply of Job.Start and Job.Report.
type RenewalReply struct {
	Failure Failure     `msgpack:"failure"`
	Renewal job.Renewal `msgpack:"renewal"`
}

func newFailure(err error) Failure {
	e := outcome.From(err)

	return Failure{Code: string(e.Code()), Effect: string(e.Effect()), Message: e.Message(), RetryAfterMS: e.RetryAfter().Milliseconds()}
}

// err returns the failure as an error, or nil if there is none.
func (f Failure) err() error {
	if f.Code == "" {
		return nil
	}

	return outcome.New(outcome.Code(f.Code), outcome.Effect(f.Effect), "%s", f.Message).
		WithRetryAfter(time.Duration(f.RetryAfterMS) * time.Millisecond)
}

func newWorkReply(w journal.Work, ok bool) WorkReply {
	if !ok {
		return WorkReply{}
	}

	return WorkReply{
		Found: true, Accept: w.AcceptRecord(), Claim: w.ClaimRecord(), ClaimedAtMS: w.ClaimedAt().UnixMilli(),
		Result: w.Result(), Ended: w.IsEnded(),
	}
}

// work returns the work of the reply, or its zero value if none was found.
func (r WorkReply) work() journal.Work {
	if !r.Found {
		return journal.Work{}
	}

	return journal.NewWork(r.Accept, r.Claim, time.UnixMilli(r.ClaimedAtMS), r.Result, r.Ended)
}

// The wire messages of the net/rpc services Member and Config follow.

// CheckArgs has the arguments of Member.Check, which asks a daemon whether another one replies to it.
type CheckArgs struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	VM       string
	Address  string
}

// CheckReply is the reply of Member.Check.
type CheckReply struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Answered bool
}

// ListArgs has the arguments of Member.List, which returns the last list of VMs.
type ListArgs struct {
	Domain string // failure domain of the requesting daemon
}

// ListReply is the reply of Member.List.
type ListReply struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	AgeMS    int64    // time since the platform confirmed the list
	Known    bool
	Machines []VMMessage
}

// VMMessage is a VM of a ListReply.
type VMMessage struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Name        string
	Address     string
	PeerAddress string
	Domain      string
	Region      string
	Service     string
	Target      bool
	Plain       bool
	Leaving     bool
}

// FetchArgs has the arguments of Config.Fetch, which returns a newer configuration version.
type FetchArgs struct {
	Known int64 // offset of the version that the requesting daemon has; 0 for none
}

// FetchReply is the reply of Config.Fetch: the version in force if it is newer than FetchArgs.Known, else offset 0.
type FetchReply struct {
	Offset  int64
	Version config.Version
}

// maxListedVMs bounds the list of VMs that is accepted from a peer. The planned deployment has 940.
const maxListedVMs = 16384

func newVMMessages(l []VM) []VMMessage {
	r := make([]VMMessage, len(l))
	for i, m := range l {
		r[i] = VMMessage{
			Name: m.name, Address: m.address, PeerAddress: m.peerAddress, Domain: m.domain, Region: m.region,
			Service: m.service, Target: m.target, Plain: m.plain, Leaving: m.leaving,
		}
	}

	return r
}

func vmsFromMessages(l []VMMessage) []VM {
	r := make([]VM, len(l))
	for i, m := range l {
		r[i] = VM{
			name: m.Name, address: m.Address, peerAddress: m.PeerAddress, domain: m.Domain, region: m.Region,
			service: m.Service, target: m.Target, plain: m.Plain, leaving: m.Leaving,
		}
	}

	return r
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
