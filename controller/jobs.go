package controller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/agategap/agategap/config"
	"github.com/agategap/agategap/filter"
	"github.com/agategap/agategap/job"
	"github.com/agategap/agategap/journal"
	"github.com/agategap/agategap/outcome"
)

// WorkStore keeps jobs.
type WorkStore interface {
	Partition(key string) int
	Followed() []int
	Replay(p int) *journal.Partition
	Submit(ctx context.Context, p int, r ...journal.Record) error
	Sync(ctx context.Context, p int) error
}

// Settings gives the configuration in force.
type Settings interface {
	InForce() config.InForce
	Service(name string) (filter.Service, bool)
}

// JobSpec is what a caller submits.
type JobSpec struct {
	account  string
	key      string
	service  string
	path     string
	priority int
	deadline time.Time
	items    []job.Item
}

// NewJobSpec returns a submission of an account under an idempotency key. path is the path of every item at the
// target.
func NewJobSpec(account, key, service, path string, priority int, deadline time.Time, items []job.Item) JobSpec {
	return JobSpec{account: account, key: key, service: service, path: path, priority: priority, deadline: deadline, items: items}
}

// ID returns the job identifier, which is the same for every submission of an account under one key.
func (s JobSpec) ID() string {
	h := sha256.Sum256([]byte(s.account + "\x00" + s.key))

	const idBytes = 12

	return "job-" + hex.EncodeToString(h[:idBytes])
}

// Digest returns a digest of what the submission asks for.
func (s JobSpec) Digest() string {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%s\x00%s\x00%d\x00", s.service, s.path, s.priority)

	for _, i := range s.items {
		_, _ = fmt.Fprintf(h, "%d:%s%d:%s", len(i.CustomID), i.CustomID, len(i.Body), i.Body)
	}

	return hex.EncodeToString(h.Sum(nil))
}

// Jobs accepts batch jobs and runs the shards that this daemon holds.
type Jobs struct {
	store    WorkStore
	settings Settings
	chain    filter.Handler
	holder   string
	domain   string
	clock    func() time.Time
	logger   zerolog.Logger

	mu      sync.Mutex
	running map[shardKey]bool
	wake    chan struct{}
	wg      sync.WaitGroup
}

type shardKey struct {
	job   string
	shard int
}

// NewJobs returns the controller. chain runs items; holder and domain go into leases.
func NewJobs(s WorkStore, c Settings, chain filter.Handler, holder, domain string, clock func() time.Time, z zerolog.Logger) *Jobs {
	return &Jobs{
		store: s, settings: c, chain: chain, holder: holder, domain: domain, clock: clock, logger: z,
		running: map[shardKey]bool{}, wake: make(chan struct{}, 1),
	}
}

const (
	// carryBytes is the size of the items that one record carries.
	carryBytes = 256 << 10
	// scanInterval is the time between two looks for shards to run.
	scanInterval = 200 * time.Millisecond
	// itemConcurrency is the number of items of a shard in flight at a time.
	itemConcurrency = 16
)

// Submit accepts a job, and returns its identifier once the log has it. The same submission again is the same
// job.
func (j *Jobs) Submit(ctx context.Context, s JobSpec) (string, error) {
	id := s.ID()
	p := j.store.Partition(id)

	v, ok := j.settings.Service(s.service)
	if !ok {
		return "", outcome.New(outcome.NotFound, outcome.NotRun, "service %q does not exist", s.service)
	}

	if err := j.carry(ctx, p, s, v); err != nil {
		return "", err
	}

	same := false

	j.store.Replay(p).Job(id, func(b *job.Job) { same = b.Digest() == s.Digest() })

	if !same {
		return "", outcome.New(outcome.KeyReused, outcome.NotRun, "the idempotency key was used for a different job; use a new key")
	}

	j.signal()

	return id, nil
}

// carry appends the records of a submission.
func (j *Jobs) carry(ctx context.Context, p int, s JobSpec, v filter.Service) error {
	d := j.settings.InForce().Document().Batch
	digest := s.Digest()
	r := []journal.Record{{Open: &job.Open{
		Job: s.ID(), Account: s.account, Key: s.key, Digest: digest, Service: s.service, Path: s.path,
		Idempotent: v.Idempotent(), Items: len(s.items), ShardItems: d.ShardItems, MaxAttempts: d.MaxAttempts,
		Priority: s.priority, DeadlineMS: s.deadline.UnixMilli(), RetainMS: d.Retain.Value().Milliseconds(),
	}}}

	for first := 0; first < len(s.items); {
		n, size := 0, 0
		for first+n < len(s.items) && (n == 0 || size < carryBytes) {
			size += len(s.items[first+n].Body)
			n++
		}

		r = append(r, journal.Record{Items: &job.Items{Job: s.ID(), Digest: digest, First: first, Items: s.items[first : first+n]}})
		first += n

		if first < len(s.items) {
			if err := j.store.Submit(ctx, p, r...); err != nil {
				return err
			}

			r = nil
		}
	}

	return j.store.Submit(ctx, p, append(r, journal.Record{Submit: &job.Submit{Job: s.ID(), Digest: digest}})...)
}

// View calls f with an account's job, after replaying what was recorded before the call.
func (j *Jobs) View(ctx context.Context, account, id string, f func(b *job.Job)) error {
	p := j.store.Partition(id)
	if err := j.store.Sync(ctx, p); err != nil {
		return err
	}

	found := false

	j.store.Replay(p).Job(id, func(b *job.Job) {
		if b.Account() == account {
			found = true

			f(b)
		}
	})

	if !found {
		return outcome.New(outcome.NotFound, outcome.NotRun, "job %q does not exist", id)
	}

	return nil
}

// Cancel stops an account's job.
func (j *Jobs) Cancel(ctx context.Context, account, id string) error {
	return j.change(ctx, account, id, journal.Record{Cancel: &job.Cancel{Job: id, Account: account}})
}

// Amend changes priority and deadline of an account's job; nil leaves a value as it is.
func (j *Jobs) Amend(ctx context.Context, account, id string, priority *int, deadline *time.Time) error {
	a := &job.Amend{Job: id, Account: account, Priority: priority}

	if deadline != nil {
		ms := deadline.UnixMilli()
		a.DeadlineMS = &ms
	}

	return j.change(ctx, account, id, journal.Record{Amend: a})
}

func (j *Jobs) change(ctx context.Context, account, id string, r journal.Record) error {
	if err := j.View(ctx, account, id, func(*job.Job) {}); err != nil {
		return err
	}

	return j.store.Submit(ctx, j.store.Partition(id), r)
}

// Run looks for shards to run until ctx ends.
func (j *Jobs) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		for _, p := range j.store.Followed() {
			j.scan(ctx, p)
		}

		select {
		case <-j.wake:
		case <-time.After(scanInterval):
		case <-ctx.Done():
		}
	}

	j.wg.Wait()

	return nil
}

func (j *Jobs) signal() {
	select {
	case j.wake <- struct{}{}:
	default:
	}
}

// scan starts the shards of a partition that nobody runs.
func (j *Jobs) scan(ctx context.Context, p int) {
	var free []shardKey

	j.store.Replay(p).Jobs(func(b *job.Job) {
		if b.State() != job.Running {
			return
		}

		for s := range b.Shards() {
			if _, held := b.Lease(s); !held && len(b.Left(s)) > 0 {
				free = append(free, shardKey{job: b.ID(), shard: s})
			}
		}
	})

	for _, k := range free {
		j.start(ctx, p, k)
	}
}

func (j *Jobs) start(ctx context.Context, p int, k shardKey) {
	j.mu.Lock()
	defer j.mu.Unlock()

	if j.running[k] {
		return
	}

	j.running[k] = true

	j.wg.Go(func() {
		j.runShard(ctx, p, k)

		j.mu.Lock()
		defer j.mu.Unlock()

		delete(j.running, k)
	})
}

// runShard leases a shard and runs its pending items.
func (j *Jobs) runShard(ctx context.Context, p int, k shardKey) {
	d := j.settings.InForce().Document().Batch

	l := job.Lease{Job: k.job, Shard: k.shard, Domain: j.domain, Holder: j.holder, DurationMS: d.Lease.Value().Milliseconds()}
	if err := j.store.Submit(ctx, p, journal.Record{Lease: &l}); err != nil {
		return
	}

	var w shardWork

	j.store.Replay(p).Job(k.job, func(b *job.Job) { w = newShardWork(b, k.shard, j.holder) })

	if !w.held {
		return
	}

	if err := j.markStarted(ctx, p, w); err != nil {
		return
	}

	r := j.runItems(ctx, w)

	g := job.Progress{Job: k.job, Shard: k.shard, Lease: w.lease, Results: r}
	if err := j.store.Submit(ctx, p, journal.Record{Progress: &g}); err != nil {
		j.logger.Warn().Str("job", k.job).Int("shard", k.shard).Err(err).Msg("the progress of a shard is not confirmed")
	}
}

// markStarted records the items that may not run twice, before their dispatch.
func (j *Jobs) markStarted(ctx context.Context, p int, w shardWork) error {
	if w.idempotent {
		return nil
	}

	b, err := job.Bitmap(w.indexes)
	if err != nil {
		return err
	}

	return j.store.Submit(ctx, p, journal.Record{Start: &job.Start{Job: w.job, Shard: w.shard, Lease: w.lease, Items: b}})
}

// shardWork is a copy of what is needed to run a shard.
type shardWork struct {
	job, service, path, account string
	shard, attempts             int
	lease                       int64
	held, idempotent            bool
	deadline                    time.Time
	indexes                     []int
	items                       []job.Item
	uncertain                   []int
}

func newShardWork(b *job.Job, s int, holder string) shardWork {
	g, ok := b.Lease(s)
	w := shardWork{
		job: b.ID(), service: b.Service(), path: b.Path(), account: b.Account(), shard: s, attempts: b.MaxAttempts(),
		lease: g.Offset(), held: ok && g.Holder() == holder, idempotent: b.Idempotent(), deadline: b.Deadline(),
	}

	for _, i := range b.Left(s) {
		if b.Started(i) && !b.Idempotent() {
			w.uncertain = append(w.uncertain, i)

			continue
		}

		w.indexes = append(w.indexes, i)
		w.items = append(w.items, b.Item(i))
	}

	return w
}

func (j *Jobs) runItems(ctx context.Context, w shardWork) []job.Result {
	var mu sync.Mutex

	var r []job.Result

	for _, i := range w.uncertain {
		r = append(r, job.Result{Index: uint32(i), Effect: job.Unknown, Reason: "the item was dispatched once and its effect is not known"}) //nolint:gosec // an item index
	}

	gate := make(chan struct{}, itemConcurrency)

	var wg sync.WaitGroup

	for n, i := range w.indexes {
		gate <- struct{}{}

		wg.Go(func() {
			defer func() { <-gate }()

			v := j.runItem(ctx, w, i, w.items[n])

			mu.Lock()
			defer mu.Unlock()

			r = append(r, v)
		})
	}

	wg.Wait()
	slices.SortFunc(r, func(a, b job.Result) int { return int(a.Index) - int(b.Index) })

	return r
}

// runItem runs one item until it ends or its attempts are used up.
func (j *Jobs) runItem(ctx context.Context, w shardWork, i int, t job.Item) job.Result {
	v, _ := j.settings.Service(w.service)
	res := job.Result{Index: uint32(i), Effect: job.Failed} //nolint:gosec // an item index

	for res.Attempts < w.attempts {
		res.Attempts++

		in := filter.Input{
			ID: fmt.Sprintf("%s-%d", w.job, i), Kind: kindOf(v), Service: w.service, Path: w.path,
			Body: t.Body, Arrived: j.clock(),
		}
		r := filter.NewBatchRequest(in, filter.NewAccount(w.account, 0), v, w.deadline)

		var c filter.Collector

		err := j.chain.Handle(ctx, r, &c)
		if err == nil {
			o := c.Complete()
			res.Effect, res.Status, res.Body, res.Reason = job.Done, o.Status, o.Body, ""

			if o.Text != "" {
				res.Body = []byte(o.Text)
			}

			return res
		}

		e := outcome.From(err)
		res.Reason = e.Message()

		if e.Code() == outcome.InvalidRequest {
			return res
		}

		if e.Effect() == outcome.Unknown && !w.idempotent {
			res.Effect = job.Unknown

			return res
		}

		sleep(ctx, retryDelay)
	}

	return res
}

func kindOf(v filter.Service) filter.Kind {
	if v.Plain() {
		return filter.Plain
	}

	return filter.Chat
}
