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

const (
	linkDelay  = 80 * time.Millisecond
	storeResponseDelay = 300 * time.Millisecond
	lateAppendDelay  = 700 * time.Millisecond
	lostResponseShare  = 0.4
	breakAfterEvent = 5
)

// injector does faults to a world and remembers when.
type injector struct {
	deployment  *deployment
	recorder *Recorder

	mu    sync.Mutex
	storeFaults []Fault // faults of the store in force
	injected  []injectedFault
	claimed  map[int]bool // daemons whose process is stopped, paused or killed
	wg    sync.WaitGroup
}

// injectedFault is a fault as it was done.
type injectedFault struct {
	fault Fault
	from  time.Time
	to    time.Time // zero while it lasts
}

// run does the faults of a schedule and waits for their ends.
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

// execute does a fault and undoes it at its end.
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

func (j *injector) recordStart(f Fault) int {
	j.mu.Lock()
	defer j.mu.Unlock()

	j.injected = append(j.injected, injectedFault{fault: f, from: time.Now()})

	return len(j.injected) - 1
}

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
	default:
		return j.injectWorkerFault(f, wait)
	}

	return nil
}

// injectPeerFault does a fault to the connections of other daemons to one.
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
		t.worker.SetFaults(worker.Faults{BreakAfter: breakAfterEvent, TearEvent: true})
		wait()
		t.worker.SetFaults(worker.Faults{})
	case WorkerLeaves:
		if err := j.deployment.setState(f.index, "draining"); err != nil {
			return err
		}

		wait()

		return j.deployment.setState(f.index, "ready")
	}

	return nil
}

// setStoreFault begins or ends a fault of the store beside the others that last.
func (j *injector) setStoreFault(f Fault, begin bool) {
	j.mu.Lock()
	defer j.mu.Unlock()

	if begin {
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

// claim takes the processes of daemons that no other fault has.
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

// signalDaemons does the faults that are signals to processes.
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

// restoreDaemon has a daemon serve again.
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

// isFaultFree reports whether no fault of some kinds lasted between two times.
func (j *injector) isFaultFree(from, to time.Time, concerns func(f Fault) bool) bool {
	j.mu.Lock()
	defer j.mu.Unlock()

	for _, s := range j.injected {
		if concerns(s.fault) && s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) {
			return false
		}
	}

	return true
}

// affectsDaemon reports whether a fault is one of a daemon or its link to the store, or of the store.
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

// affectsAnyDaemon reports whether a fault is one of any daemon or of the store.
func affectsAnyDaemon(f Fault) bool {
	switch f.kind {
	case Kill, Pause, Stop, StoreLinkCut, StoreLinkDeaf, StoreLinkSlow:
		return true
	default:
		return affectsDaemon(-1)(f)
	}
}

// affectsWorkers reports whether a fault is one of a worker or kills daemons.
func affectsWorkers(f Fault) bool {
	switch f.kind {
	case WorkerCut, WorkerReset, WorkerSilent, WorkerSlow, WorkerBreaks, KillMany:
		return true
	default:
		return false
	}
}
