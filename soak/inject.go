package soak

import (
	"context"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/agategap/agategap/standin/proxy"
	"github.com/agategap/agategap/standin/store"
	"github.com/agategap/agategap/standin/worker"
)

// Parameters of the faults.
const (
	linkDelay          = 80 * time.Millisecond  // of StoreLinkSlow, PeersSlow and WorkerSlow
	storeResponseDelay = 300 * time.Millisecond // of StoreSlow
	lateAppendDelay    = 700 * time.Millisecond // of StoreLossy
	lostResponseShare  = 0.4                    // of StoreLossy
	breakAfterEvent    = 5                      // of WorkerBreaks
)

// injector injects faults into a deployment and records when each was in effect. mu guards storeFaults, injected
// and claimed.
type injector struct {
	deployment *deployment
	recorder   *Recorder

	mu          sync.Mutex
	storeFaults []Fault // faults of the store that are in effect
	injected    []injectedFault
	claimed     map[int]bool // indices of daemons whose process a fault stops, pauses, kills or reloads
	wg          sync.WaitGroup
}

// injectedFault is a fault with the times at which it was injected and removed.
type injectedFault struct {
	fault Fault
	from  time.Time
	to    time.Time // zero while the fault is in effect
}

// run injects the faults of a schedule and waits until all are removed.
func (j *injector) run(ctx context.Context, l []Fault) {
	start := time.Now()

	for _, f := range l {
		select {
		case <-time.After(time.Until(start.Add(f.start))):
		case <-ctx.Done():
		}

		if ctx.Err() != nil {
			break
		}

		j.wg.Go(func() { j.execute(f) })
	}

	j.wg.Wait()
}

// execute runs inject for a fault and records the time during which the fault was in effect. A failure to inject or to
// remove it breaks the promise Recovered.
func (j *injector) execute(f Fault) {
	n := j.recordStart(f)
	j.recorder.Count("fault " + string(f.kind))

	if err := j.inject(f); err != nil {
		j.recorder.RecordBroken(Recovered, string(f.kind), "the fault could not be injected or undone: "+err.Error())
	}

	j.mu.Lock()
	j.injected[n].to = time.Now()
	j.mu.Unlock()
}

// recordStart records that a fault is being injected and returns its index in injected.
func (j *injector) recordStart(f Fault) int {
	j.mu.Lock()
	defer j.mu.Unlock()

	j.injected = append(j.injected, injectedFault{fault: f, from: time.Now()})

	return len(j.injected) - 1
}

// inject injects a fault, waits for its end and removes it. Faults without a duration, such as resets, are only
// injected.
func (j *injector) inject(f Fault) error {
	wait := func() { time.Sleep(f.end - f.start) }
	w := j.deployment

	switch f.kind {
	case Kill, Pause, Stop, Reload, KillMany:
		return j.signalDaemons(f, wait)
	case Configure:
		return w.publishConfig()
	case StoreLinkCut:
		w.daemons[f.index].storeProxy.SetDown(true)
		wait()
		w.daemons[f.index].storeProxy.SetDown(false)
	case StoreLinkDeaf:
		w.daemons[f.index].storeProxy.SetBlackhole(proxy.ToClient, true)
		wait()
		w.daemons[f.index].storeProxy.SetBlackhole(proxy.ToClient, false)
	case StoreLinkSlow:
		w.daemons[f.index].storeProxy.SetDelay(linkDelay)
		wait()
		w.daemons[f.index].storeProxy.SetDelay(0)
	case PeersCut, PeersDeaf, PeersSilent, PeersReset, PeersSlow:
		injectPeerFault(f.kind, w.daemons[f.index].peerProxy, wait)
	case StoreDown, StoreSilent, StoreSlow, StoreLossy, StoreForgets:
		j.setStoreFault(f, true)
		wait()
		j.setStoreFault(f, false)
	case CrashReset, CrashEnd, CrashSilent, CrashMany:
		return j.crashWorkers(f, wait)
	case CrashFollow:
		return j.followItem(f)
	case DeadlyOnline, DeadlyItems:
		w.prompts.setDeadly(f.kind, true)
		wait()
		w.prompts.setDeadly(f.kind, false)
	default:
		return j.injectWorkerFault(f, wait)
	}

	return nil
}

// injectPeerFault injects a fault into the connections of other daemons to one daemon, and removes it after wait. p is
// the proxy in front of the daemon's listener for peers.
func injectPeerFault(k FaultKind, p *proxy.Proxy, wait func()) {
	switch k {
	case PeersCut:
		p.SetDown(true)
		wait()
		p.SetDown(false)
	case PeersDeaf:
		p.SetBlackhole(proxy.ToClient, true)
		wait()
		p.SetBlackhole(proxy.ToClient, false)
	case PeersSlow:
		p.SetDelay(linkDelay)
		wait()
		p.SetDelay(0)
	case PeersSilent:
		p.BlackholeOpen(proxy.ToClient)
	default:
		p.ResetOpen()
	}
}

func (j *injector) injectWorkerFault(f Fault, wait func()) error {
	t := j.deployment.workers[f.index]

	switch f.kind {
	case WorkerCut:
		t.proxy.SetDown(true)
		wait()
		t.proxy.SetDown(false)
	case WorkerReset:
		t.proxy.ResetOpen()
	case WorkerSilent:
		t.proxy.BlackholeOpen(proxy.ToClient)
	case WorkerSlow:
		t.proxy.SetDelay(linkDelay)
		wait()
		t.proxy.SetDelay(0)
	case WorkerBreaks:
		t.worker.SetFaults(worker.Faults{BreakAfter: breakAfterEvent, TearEvent: true, Deadly: deadlyPart})
		wait()
		t.worker.SetFaults(worker.Faults{Deadly: deadlyPart})
	case WorkerLeaves:
		if err := j.deployment.setWorkerState(f.index, "draining"); err != nil {
			return err
		}

		wait()

		return j.deployment.setWorkerState(f.index, "ready")
	}

	return nil
}

// setStoreFault starts a fault of the store, or ends it if active is false. Other faults of the store stay in effect.
func (j *injector) setStoreFault(f Fault, active bool) {
	j.mu.Lock()
	defer j.mu.Unlock()

	if active {
		j.storeFaults = append(j.storeFaults, f)
	} else {
		for i, o := range j.storeFaults {
			if o == f {
				j.storeFaults = append(j.storeFaults[:i:i], j.storeFaults[i+1:]...)

				break
			}
		}
	}

	var v store.Faults

	for _, o := range j.storeFaults {
		switch o.kind {
		case StoreDown:
			v.Down = true
		case StoreSilent:
			v.Silent = true
		case StoreSlow:
			v.DelayMS = int(storeResponseDelay.Milliseconds())
		case StoreLossy:
			v.LostShare, v.LateMS = lostResponseShare, int(lateAppendDelay.Milliseconds())
		case StoreForgets:
			v.KeepLast = 1
		}
	}

	j.deployment.store.SetFaults(v)
}

// claim claims the processes of those daemons in l that no other fault has claimed, and returns their indices.
func (j *injector) claim(l []int) []int {
	j.mu.Lock()
	defer j.mu.Unlock()

	if j.claimed == nil {
		j.claimed = map[int]bool{}
	}

	var free []int

	for _, i := range l {
		if !j.claimed[i] {
			j.claimed[i] = true
			free = append(free, i)
		}
	}

	return free
}

func (j *injector) release(l []int) {
	j.mu.Lock()
	defer j.mu.Unlock()

	for _, i := range l {
		delete(j.claimed, i)
	}
}

// signalDaemons injects a fault that is a signal to the processes of daemons. It skips daemons whose process another
// fault has claimed. After all signals but Reload, it resumes or restarts the daemons.
func (j *injector) signalDaemons(f Fault, wait func()) error {
	l := []int{f.index}

	if f.kind == KillMany {
		l = nil
		for i := 0; i < len(j.deployment.daemons); i += 2 {
			l = append(l, i)
		}
	}

	l = j.claim(l)
	defer j.release(l)

	var signal os.Signal

	switch f.kind {
	case Pause:
		signal = syscall.SIGSTOP
	case Stop:
		signal = syscall.SIGTERM
	case Reload:
		signal = syscall.SIGHUP
	default:
		signal = os.Kill
	}

	for _, i := range l {
		if err := j.deployment.daemons[i].signal(signal); err != nil {
			return err
		}
	}

	if f.kind == Reload {
		return nil
	}

	if f.kind != Stop {
		wait()
	}

	for _, i := range l {
		if err := j.restoreDaemon(f.kind, j.deployment.daemons[i]); err != nil {
			return err
		}
	}

	return nil
}

// restoreDaemon resumes or restarts a daemon after a fault of its process, and waits until a restarted one is ready. A
// daemon that does not exit within shutdownTimeout after Stop breaks the promise Shutdown and is killed.
func (j *injector) restoreDaemon(k FaultKind, d *daemon) error {
	if k == Pause {
		return d.signal(syscall.SIGCONT)
	}

	if k == Stop {
		select {
		case <-d.exited():
		case <-time.After(shutdownTimeout):
			j.recorder.RecordBroken(Shutdown, d.vm, "the shutdown took longer than it may")

			if err := d.signal(os.Kill); err != nil {
				return err
			}
		}
	}

	if err := j.deployment.restartDaemon(d); err != nil {
		return err
	}

	return d.waitReady(context.Background())
}

// isFaultFree reports whether no fault that matches was in effect at any time between from and to.
func (j *injector) isFaultFree(from, to time.Time, matches func(f Fault) bool) bool {
	j.mu.Lock()
	defer j.mu.Unlock()

	for _, s := range j.injected {
		if matches(s.fault) && s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) {
			return false
		}
	}

	return true
}

// affectsDaemon returns a function that matches the faults of daemon n, of its connections to the store, and of the
// store. It does not match Reload, StoreForgets and the faults of connections between daemons.
func affectsDaemon(n int) func(f Fault) bool {
	return func(f Fault) bool {
		switch f.kind {
		case Kill, Pause, Stop, StoreLinkCut, StoreLinkDeaf, StoreLinkSlow:
			return f.index == n
		case KillMany, StoreDown, StoreSilent, StoreSlow, StoreLossy:
			return true
		default:
			return false
		}
	}
}

// affectsAnyDaemon matches the faults that affectsDaemon matches for any daemon.
func affectsAnyDaemon(f Fault) bool {
	switch f.kind {
	case Kill, Pause, Stop, StoreLinkCut, StoreLinkDeaf, StoreLinkSlow:
		return true
	default:
		return affectsDaemon(-1)(f)
	}
}

// affectsWorkers matches the faults of any worker except WorkerLeaves, and KillMany.
func affectsWorkers(f Fault) bool {
	switch f.kind {
	case WorkerCut, WorkerReset, WorkerSilent, WorkerSlow, WorkerBreaks, KillMany,
		CrashReset, CrashEnd, CrashSilent, CrashMany, CrashFollow, DeadlyCrash:
		return true
	default:
		return false
	}
}
