package job_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/agategap/agategap/job"
)

const (
	leaseDuration = 4 * time.Second
	maxPause = 2 * time.Second
)

// simulation has a job as the log's order decides it, two writers that both grant, and holders that crash, pause and lose
// messages.
type simulation struct {
	job     *job.Job
	offset  int64
	now     time.Time
	grantors [2]job.Grantor
	holders [3]*job.Holder
	holderNames   [3]string
	incarnations    int
	inFlight  [3][]job.Task
	sendCounts    map[uint32]int
	firstResults   map[int]job.Result
	cancelledStatus  *job.Status
	releaseReports  []job.Report // reports whose second copy may still arrive
}

func newSimulation(t *rapid.T) *simulation {
	o := job.OpenRecord{
		Job: "j", Account: "a", Items: rapid.IntRange(1, 12).Draw(t, "items"), ShardItems: rapid.IntRange(1, 5).Draw(t, "shard"),
		MaxAttempts: 3, Idempotent: rapid.Bool().Draw(t, "idempotent"), DeadlineMS: 1,
	}
	w := &simulation{
		job: job.New(o), now: time.Unix(1000, 0), sendCounts: map[uint32]int{}, firstResults: map[int]job.Result{},
	}
	w.job.ApplyItems(job.ItemsRecord{Items: make([]job.Item, o.Items)})
	w.job.Accept(w.now)

	for i := range w.holders {
		w.restartHolder(i)
	}

	return w
}

// restartHolder replaces a daemon by a new incarnation, which knows nothing.
func (w *simulation) restartHolder(i int) {
	w.incarnations++
	w.holders[i], w.holderNames[i], w.inFlight[i] = &job.Holder{}, fmt.Sprintf("vm%d/%d", i, w.incarnations), nil
}

func (w *simulation) chooseOffers(i, by int) []job.Offer {
	d := job.NewShardRequest(fmt.Sprintf("domain%d", i), w.holderNames[i], 6, w.holders[i].HeldShards(), w.holders[i].StoppedJobs())
	g := &w.grantors[by]

	return g.Choose(w.now, g.Offers(w.now, w.job.Candidates(64), d, maxPause), d)
}

func (w *simulation) grantOffers(i, by int, l []job.Offer, lost bool) {
	for _, o := range l {
		s := o.Ref().Shard

		if !o.IsResend() {
			w.offset++
			w.job.ApplyLease(job.LeaseRecord{Job: "j", Shard: s, Holder: w.holderNames[i], DurationMS: leaseDuration.Milliseconds(), Replaces: o.ReplacedOffset()}, w.offset)
			w.grantors[by].EndReservation(o.Ref())
		}

		if g, ok := w.job.Lease(s); ok && g.Holder() == w.holderNames[i] && w.job.HasLease(s, g.Offset()) && !lost {
			v := w.job.LeasedShard(s)
			v.Items, _ = w.job.PendingPage(s, 0, 1<<20)
			w.holders[i].Acquire(w.now, v)
		}
	}
}

// dispatch hands out a task and starts it as the runner does.
func (w *simulation) dispatch(t *rapid.T, i int) bool {
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
		w.sendCounts[k.Index()]++

		if w.sendCounts[k.Index()] > 1 && !k.Idempotent() {
			t.Fatalf("item %d, which may not run twice, was sent twice", k.Index())
		}
	}

	w.inFlight[i] = append(w.inFlight[i], k)

	return true
}

func (w *simulation) endTask(i, n int, v job.AttemptOutcome) {
	k := w.inFlight[i][n]
	w.inFlight[i] = append(w.inFlight[i][:n:n], w.inFlight[i][n+1:]...)

	if v == job.NotRun && !k.ShouldLookUp() {
		w.sendCounts[k.Index()]--
	}

	if k.ShouldLookUp() && v != job.Succeeded {
		v = job.Uncertain
	}

	w.holders[i].EndTask(w.now, k, v, job.Result{Body: []byte{byte(w.offset)}})
}

// sendReports sends the due reports; request or answer may be lost.
func (w *simulation) sendReports(i, by int, lostRequest, lostAnswer bool) {
	for _, r := range w.holders[i].DueReports(w.now) {
		if lostRequest {
			w.holders[i].HandleNoReply(r)

			continue
		}

		w.applyReport(r)

		a := w.job.Renewal(r.Shard, r.Lease)
		if g, _ := w.job.Lease(r.Shard); a.Holds {
			w.grantors[by].RecordRenewal(w.now, r.Ref(), g)
		}

		if lostAnswer {
			w.holders[i].HandleNoReply(r)
		} else {
			w.holders[i].HandleReply(r, a)
		}
	}
}

func (w *simulation) applyReport(r job.Report) {
	if len(r.Results) > 0 || len(r.Tries) > 0 || r.Release {
		w.job.ApplyProgress(job.ProgressRecord{
			Job: "j", Shard: r.Shard, Lease: r.Lease, Results: r.Results, Tries: r.Tries, Release: r.Release, Unsent: r.Unsent,
		}, w.now)
	}
}

func (w *simulation) checkInvariants(t *rapid.T) {
	for i := range w.job.ItemCount() {
		r, ok := w.job.Result(i)
		if o, had := w.firstResults[i]; had && (!ok || string(o.Body) != string(r.Body) || o.Effect != r.Effect) {
			t.Fatalf("the result of item %d changed from %v to %v", i, o, r)
		}

		if ok {
			w.firstResults[i] = r
		}
	}

	if n := w.job.Count(job.Done) + w.job.Count(job.Failed) + w.job.Count(job.Unknown) + w.job.PendingCount(); n != w.job.ItemCount() {
		t.Fatalf("%d of %d items are accounted for", n, w.job.ItemCount())
	}

	if w.job.State() == job.Cancelled {
		s := w.job.Status()
		if w.cancelledStatus == nil {
			w.cancelledStatus = &s
		}

		if *w.cancelledStatus != s {
			t.Fatalf("the job went on after its cancellation: %v, then %v", *w.cancelledStatus, s)
		}
	}
}

// Guards against items that are lost, that end twice, that go on after a cancellation or, if they may not run twice, are
// sent twice, under any interleaving of crashes, pauses, lost messages and two writers; and against a job that cannot
// be finished afterwards.
func TestItemsSurviveAnyInterleaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		one := func(name string) int { return rapid.IntRange(0, 2).Draw(t, name) }
		by := func() int { return rapid.IntRange(0, 1).Draw(t, "writer") }
		lost := func(name string) bool { return rapid.IntRange(0, 3).Draw(t, name) == 0 }

		t.Repeat(map[string]func(*rapid.T){
			"": w.checkInvariants,
			"wait": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond)
			},
			"pull": func(*rapid.T) {
				i, n := one("holder"), by()
				w.grantOffers(i, n, w.chooseOffers(i, n), lost("reply"))
			},
			"pull at both writers": func(*rapid.T) {
				a, b := one("first"), one("second")
				x, y := w.chooseOffers(a, 0), w.chooseOffers(b, 1)
				w.grantOffers(a, 0, x, lost("first reply"))
				w.grantOffers(b, 1, y, lost("second reply"))
			},
			"take over": func(*rapid.T) {
				i, n := one("holder"), by()
				w.chooseOffers(i, n)
				w.now = w.now.Add(leaseDuration + maxPause + 1)
				w.grantOffers(i, n, w.chooseOffers(i, n), false)
			},
			"dispatch": func(t *rapid.T) { w.dispatch(t, one("holder")) },
			"end": func(t *rapid.T) {
				i := one("holder")
				if n := len(w.inFlight[i]); n > 0 {
					w.endTask(i, rapid.IntRange(0, n-1).Draw(t, "task"), job.AttemptOutcome(rapid.IntRange(1, 5).Draw(t, "verdict")))
				}
			},
			"report": func(*rapid.T) { w.sendReports(one("holder"), by(), lost("request"), lost("answer")) },
			"crash":  func(*rapid.T) { w.restartHolder(one("holder")) },
			"give back": func(*rapid.T) {
				for _, r := range w.holders[one("holder")].ReleaseAll(w.now) {
					w.applyReport(r)
					w.releaseReports = append(w.releaseReports, r)
				}
			},
			"second copy": func(*rapid.T) {
				for _, r := range w.releaseReports {
					w.applyReport(r)
				}
			},
			"cut off": func(*rapid.T) {
				w.holders[one("holder")].CutOff(w.now, leaseDuration)
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

		w.runToEnd(t)
	})
}

// runToEnd runs what is left with one holder and one writer, while the other holders are gone.
func (w *simulation) runToEnd(t *rapid.T) {
	w.restartHolder(0)
	w.restartHolder(1)
	w.restartHolder(2)

	for n := 0; w.job.State() == job.Running; n++ {
		if n > 1000 {
			t.Fatalf("the job does not finish: %v", w.job.Status())
		}

		w.now = w.now.Add(time.Second)
		w.grantOffers(0, 0, w.chooseOffers(0, 0), false)

		for w.dispatch(t, 0) {
			if len(w.inFlight[0]) > 0 {
				w.endTask(0, 0, job.Succeeded)
			}
		}

		w.sendReports(0, 0, false, false)
		w.checkInvariants(t)
	}
}
