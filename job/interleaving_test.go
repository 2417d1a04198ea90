package job_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/agategap/agategap/job"
)

const (
	lease = 4 * time.Second
	pause = 2 * time.Second
)

// world has a job as the log's order decides it, two writers that both grant, and holders that crash, pause and lose
// messages.
type world struct {
	job     *job.Job
	offset  int64
	now     time.Time
	writers [2]job.Grantor
	holders [3]*job.Holder
	names   [3]string
	born    int
	flying  [3][]job.Task
	sent    map[uint32]int
	final   map[int]job.Result
	frozen  *job.Status
	copies  []job.Report // reports whose second copy may still arrive
}

func newWorld(t *rapid.T) *world {
	o := job.OpenRecord{
		Job: "j", Account: "a", Items: rapid.IntRange(1, 12).Draw(t, "items"), ShardItems: rapid.IntRange(1, 5).Draw(t, "shard"),
		MaxAttempts: 3, Idempotent: rapid.Bool().Draw(t, "idempotent"), DeadlineMS: 1,
	}
	w := &world{
		job: job.New(o), now: time.Unix(1000, 0), sent: map[uint32]int{}, final: map[int]job.Result{},
	}
	w.job.ApplyItems(job.ItemsRecord{Items: make([]job.Item, o.Items)})
	w.job.Accept(w.now)

	for i := range w.holders {
		w.crash(i)
	}

	return w
}

// crash replaces a daemon by a new incarnation, which knows nothing.
func (w *world) crash(i int) {
	w.born++
	w.holders[i], w.names[i], w.flying[i] = &job.Holder{}, fmt.Sprintf("vm%d/%d", i, w.born), nil
}

func (w *world) choose(i, by int) []job.Offer {
	d := job.NewShardRequest(fmt.Sprintf("domain%d", i), w.names[i], 6, w.holders[i].HeldShards(), w.holders[i].StoppedJobs())
	g := &w.writers[by]

	return g.Choose(w.now, g.Offers(w.now, w.job.Candidates(64), d, pause), d)
}

func (w *world) grant(i, by int, l []job.Offer, lost bool) {
	for _, o := range l {
		s := o.Ref().Shard

		if !o.IsResend() {
			w.offset++
			w.job.ApplyLease(job.LeaseRecord{Job: "j", Shard: s, Holder: w.names[i], DurationMS: lease.Milliseconds(), Replaces: o.Replaces()}, w.offset)
			w.writers[by].EndReservation(o.Ref())
		}

		if g, ok := w.job.Lease(s); ok && g.Holder() == w.names[i] && w.job.HasLease(s, g.Offset()) && !lost {
			v := w.job.LeasedShard(s)
			v.Items, _ = w.job.PendingPage(s, 0, 1<<20)
			w.holders[i].Acquire(w.now, v)
		}
	}
}

// dispatch hands out a task and starts it as the runner does.
func (w *world) dispatch(t *rapid.T, i int) bool {
	k, ok := w.holders[i].Next(w.now)
	if !ok {
		return false
	}

	if !k.Idempotent() && !k.ShouldLookUp() {
		b, _ := job.EncodeIndexes([]int{int(k.Index())})
		w.job.ApplyStart(job.StartRecord{Job: "j", Shard: k.Ref().Shard, Lease: k.Lease(), Items: b})

		if !w.job.Renewal(k.Ref().Shard, k.Lease()).Holds {
			w.holders[i].EndTask(w.now, k, job.NotRun, job.Result{})

			return true
		}
	}

	if !k.ShouldLookUp() {
		w.sent[k.Index()]++

		if w.sent[k.Index()] > 1 && !k.Idempotent() {
			t.Fatalf("item %d, which may not run twice, was sent twice", k.Index())
		}
	}

	w.flying[i] = append(w.flying[i], k)

	return true
}

func (w *world) end(i, n int, v job.AttemptOutcome) {
	k := w.flying[i][n]
	w.flying[i] = append(w.flying[i][:n:n], w.flying[i][n+1:]...)

	if v == job.NotRun && !k.ShouldLookUp() {
		w.sent[k.Index()]--
	}

	if k.ShouldLookUp() && v != job.Succeeded {
		v = job.Uncertain
	}

	w.holders[i].EndTask(w.now, k, v, job.Result{Body: []byte{byte(w.offset)}})
}

// report sends the due reports; request or answer may be lost.
func (w *world) report(i, by int, lostRequest, lostAnswer bool) {
	for _, r := range w.holders[i].DueReports(w.now) {
		if lostRequest {
			w.holders[i].HandleNoReply(r)

			continue
		}

		w.progress(r)

		a := w.job.Renewal(r.Shard, r.Lease)
		if g, _ := w.job.Lease(r.Shard); a.Holds {
			w.writers[by].RecordRenewal(w.now, r.Ref(), g)
		}

		if lostAnswer {
			w.holders[i].HandleNoReply(r)
		} else {
			w.holders[i].HandleReply(r, a)
		}
	}
}

func (w *world) progress(r job.Report) {
	if len(r.Results) > 0 || len(r.Tries) > 0 || r.Release {
		w.job.ApplyProgress(job.ProgressRecord{
			Job: "j", Shard: r.Shard, Lease: r.Lease, Results: r.Results, Tries: r.Tries, Release: r.Release, Unsent: r.Unsent,
		}, w.now)
	}
}

func (w *world) check(t *rapid.T) {
	for i := range w.job.ItemCount() {
		r, ok := w.job.Result(i)
		if o, had := w.final[i]; had && (!ok || string(o.Body) != string(r.Body) || o.Effect != r.Effect) {
			t.Fatalf("the result of item %d changed from %v to %v", i, o, r)
		}

		if ok {
			w.final[i] = r
		}
	}

	if n := w.job.Count(job.Done) + w.job.Count(job.Failed) + w.job.Count(job.Unknown) + w.job.PendingCount(); n != w.job.ItemCount() {
		t.Fatalf("%d of %d items are accounted for", n, w.job.ItemCount())
	}

	if w.job.State() == job.Cancelled {
		s := w.job.Status()
		if w.frozen == nil {
			w.frozen = &s
		}

		if *w.frozen != s {
			t.Fatalf("the job went on after its cancellation: %v, then %v", *w.frozen, s)
		}
	}
}

// Guards against items that are lost, that end twice, that go on after a cancellation or, if they may not run twice, are
// sent twice, under any interleaving of crashes, pauses, lost messages and two writers; and against a job that cannot
// be finished afterwards.
func TestAnyInterleavingKeepsItems(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		one := func(name string) int { return rapid.IntRange(0, 2).Draw(t, name) }
		by := func() int { return rapid.IntRange(0, 1).Draw(t, "writer") }
		lost := func(name string) bool { return rapid.IntRange(0, 3).Draw(t, name) == 0 }

		t.Repeat(map[string]func(*rapid.T){
			"": w.check,
			"wait": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond)
			},
			"pull": func(*rapid.T) {
				i, n := one("holder"), by()
				w.grant(i, n, w.choose(i, n), lost("reply"))
			},
			"pull at both writers": func(*rapid.T) {
				a, b := one("first"), one("second")
				x, y := w.choose(a, 0), w.choose(b, 1)
				w.grant(a, 0, x, lost("first reply"))
				w.grant(b, 1, y, lost("second reply"))
			},
			"take over": func(*rapid.T) {
				i, n := one("holder"), by()
				w.choose(i, n)
				w.now = w.now.Add(lease + pause + 1)
				w.grant(i, n, w.choose(i, n), false)
			},
			"dispatch": func(t *rapid.T) { w.dispatch(t, one("holder")) },
			"end": func(t *rapid.T) {
				i := one("holder")
				if n := len(w.flying[i]); n > 0 {
					w.end(i, rapid.IntRange(0, n-1).Draw(t, "task"), job.AttemptOutcome(rapid.IntRange(1, 5).Draw(t, "verdict")))
				}
			},
			"report": func(*rapid.T) { w.report(one("holder"), by(), lost("request"), lost("answer")) },
			"crash":  func(*rapid.T) { w.crash(one("holder")) },
			"give back": func(*rapid.T) {
				for _, r := range w.holders[one("holder")].ReleaseAll(w.now) {
					w.progress(r)
					w.copies = append(w.copies, r)
				}
			},
			"second copy": func(*rapid.T) {
				for _, r := range w.copies {
					w.progress(r)
				}
			},
			"cut off": func(*rapid.T) {
				w.holders[one("holder")].CutOff(w.now, lease)
			},
			"amend": func(t *rapid.T) {
				p := rapid.IntRange(-3, 3).Draw(t, "priority")
				w.job.ApplyAmend(job.AmendRecord{Job: "j", Account: "a", Priority: &p})
			},
			"cancel": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "cancel") == 0 {
					w.job.ApplyCancel(job.CancelRecord{Job: "j", Account: "a"}, w.now)
				}
			},
		})

		w.finish(t)
	})
}

// finish runs what is left with one holder and one writer, while the other holders are gone.
func (w *world) finish(t *rapid.T) {
	w.crash(0)
	w.crash(1)
	w.crash(2)

	for n := 0; w.job.State() == job.Running; n++ {
		if n > 1000 {
			t.Fatalf("the job does not finish: %v", w.job.Status())
		}

		w.now = w.now.Add(time.Second)
		w.grant(0, 0, w.choose(0, 0), false)

		for w.dispatch(t, 0) {
			if len(w.flying[0]) > 0 {
				w.end(0, 0, job.Succeeded)
			}
		}

		w.report(0, 0, false, false)
		w.check(t)
	}
}
