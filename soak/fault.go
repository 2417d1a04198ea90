package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind names a kind of fault. The names occur in reports.
type FaultKind string

// Kinds of faults. Kill to Reload are signals to the processes of daemons. Faults of connections are injected by
// proxies, the others by the stand-ins.
const (
	Kill          FaultKind = "kill"            // SIGKILL; the daemon starts again when the fault ends
	KillMany      FaultKind = "kill_many"       // SIGKILL to half of the daemons at once
	Pause         FaultKind = "pause"           // SIGSTOP, and SIGCONT when the fault ends
	Stop          FaultKind = "stop"            // SIGTERM; the daemon starts again after its shutdown
	Reload        FaultKind = "reload"          // SIGHUP
	StoreLinkCut  FaultKind = "store_link_cut"  // a daemon cannot connect to the store
	StoreLinkDeaf FaultKind = "store_link_deaf" // the responses of the store to a daemon are lost
	StoreLinkSlow FaultKind = "store_link_slow" // traffic between a daemon and the store is delayed
	StoreDown     FaultKind = "store_down"      // the store refuses every request
	StoreSilent   FaultKind = "store_silent"    // the store responds to no request
	StoreSlow     FaultKind = "store_slow"      // the store responds late
	StoreLossy    FaultKind = "store_lossy"     // the store applies some appends late and without a response
	StoreForgets  FaultKind = "store_forgets"   // the store keeps only the newest record of each partition
	PeersCut      FaultKind = "peers_cut"       // the other daemons cannot connect to a daemon, which can connect to them
	PeersDeaf     FaultKind = "peers_deaf"      // calls of the other daemons reach a daemon, but its replies are lost
	PeersSilent   FaultKind = "peers_silent"    // open connections of other daemons to a daemon lose all further replies
	PeersReset    FaultKind = "peers_reset"     // open connections of other daemons to a daemon are reset
	PeersSlow     FaultKind = "peers_slow"      // traffic between a daemon and the daemons that call it is delayed
	WorkerCut     FaultKind = "worker_cut"      // no daemon can connect to a worker
	WorkerReset   FaultKind = "worker_reset"    // open connections to a worker are reset
	WorkerSilent  FaultKind = "worker_silent"   // open connections to a worker lose all further responses
	WorkerSlow    FaultKind = "worker_slow"     // traffic between a worker and the daemons is delayed
	WorkerBreaks  FaultKind = "worker_breaks"   // responses of a worker are aborted in the middle of an event
	WorkerLeaves  FaultKind = "worker_leaves"   // a worker registers as leaving, and as ready when the fault ends
	Configure     FaultKind = "configure"       // the platform's operator adds a route
	CrashReset    FaultKind = "crash_reset"     // a worker crashes, its connections are reset and new ones refused
	CrashEnd      FaultKind = "crash_end"       // a worker crashes, its connections end and new ones are refused
	CrashSilent   FaultKind = "crash_silent"    // a worker crashes, its connections and new ones stay open and silent
	CrashMany     FaultKind = "crash_many"      // half of the workers crash at once
	CrashFollow   FaultKind = "crash_follow"    // workers crash one after another soon after the same item began there
	DeadlyOnline  FaultKind = "deadly_online"   // clients send requests with a part of a prompt that crashes workers
	DeadlyItems   FaultKind = "deadly_items"    // some items of the jobs have a part that crashes workers
	DeadlyCrash   FaultKind = "deadly_crash"    // a worker crashes under such a part; not drawn
)

// scope says what a kind of fault is injected into: one daemon, one worker, or something else, such as the store or
// several daemons.
type scope uint8

const (
	daemonScope scope = iota
	workerScope
	systemScope
)

// weightedKind is a kind of fault with its scope. weight is its relative frequency.
type weightedKind struct {
	kind   FaultKind
	scope  scope
	weight int
}

// peerFaultKinds are the faults of the connections between daemons. They are drawn from a random source of their own,
// so that seeds that broke a promise before these kinds existed, such as those of regression tests, still give the same
// other faults.
var peerFaultKinds = []weightedKind{
	{PeersCut, daemonScope, 3},
	{PeersDeaf, daemonScope, 2},
	{PeersSilent, daemonScope, 2},
	{PeersReset, daemonScope, 2},
	{PeersSlow, daemonScope, 1},
}

// mainFaultKinds are all other kinds of faults.
var mainFaultKinds = []weightedKind{
	{Kill, daemonScope, 4},
	{KillMany, systemScope, 1},
	{Pause, daemonScope, 4},
	{Stop, daemonScope, 5},
	{Reload, daemonScope, 1},
	{StoreLinkCut, daemonScope, 3},
	{StoreLinkDeaf, daemonScope, 3},
	{StoreLinkSlow, daemonScope, 2},
	{StoreDown, systemScope, 2},
	{StoreSilent, systemScope, 1},
	{StoreSlow, systemScope, 2},
	{StoreLossy, systemScope, 3},
	{StoreForgets, systemScope, 2},
	{WorkerCut, workerScope, 3},
	{WorkerReset, workerScope, 3},
	{WorkerSilent, workerScope, 3},
	{WorkerSlow, workerScope, 2},
	{WorkerBreaks, workerScope, 3},
	{WorkerLeaves, workerScope, 3},
	{Configure, systemScope, 4},
}

// crashFaultKinds are the crashes of workers. They are drawn apart from the others for the same reason as
// peerFaultKinds.
var crashFaultKinds = []weightedKind{
	{CrashReset, workerScope, 3},
	{CrashEnd, workerScope, 3},
	{CrashSilent, workerScope, 2},
	{CrashMany, systemScope, 1},
}

// followFaultKinds has only CrashFollow. It is drawn apart from the others for the same reason.
var followFaultKinds = []weightedKind{{CrashFollow, systemScope, 1}}

// Fault is one fault of a schedule.
type Fault struct {
	kind  FaultKind
	index int           // of the daemon or worker, depending on the scope of the kind; otherwise 0
	start time.Duration // since the start of the soak
	end   time.Duration // since the start of the soak
}

// Kind returns the kind of the fault.
func (f Fault) Kind() FaultKind { return f.kind }

// Index returns the index of the daemon or worker into which the fault is injected, or 0 for kinds of faults that are
// not injected into a single one.
func (f Fault) Index() int { return f.index }

// Start returns the time from the start of the soak to the injection of the fault.
func (f Fault) Start() time.Duration { return f.start }

// End returns the time from the start of the soak to the removal of the fault. Some faults, such as resets, have no
// duration, and nothing is removed then.
func (f Fault) End() time.Duration { return f.end }

const (
	// meanFaultInterval is the mean time between two draws of mainFaultKinds. A draw gives one fault or a series.
	meanFaultInterval = 900 * time.Millisecond
	// meanPeerFaultInterval is the mean time between two draws of peerFaultKinds.
	meanPeerFaultInterval = 2500 * time.Millisecond
	// meanCrashFaultInterval is the mean time between two draws of crashFaultKinds.
	meanCrashFaultInterval = 2 * time.Second
	// crashWaveShare is the share of soaks in which workers crash crashWaveFactor times as often.
	crashWaveShare  = 0.3
	crashWaveFactor = 2
	// meanFollowFaultInterval is the mean time between two draws of followFaultKinds.
	meanFollowFaultInterval = 6 * time.Second
	// deadlyRunShare is the share of soaks with prompts that crash workers.
	deadlyRunShare = 0.6
	// meanDeadlyInterval is the mean time before the first phase with such prompts, and between two phases.
	meanDeadlyInterval = 5 * time.Second
	// minDeadlyDuration and maxDeadlyDuration bound how long such a phase lasts.
	minDeadlyDuration = 4 * time.Second
	maxDeadlyDuration = 12 * time.Second
	// seriesShare is the share of draws that give a series, which has 2 to maxSeriesLength faults of the same kind that
	// start seriesInterval apart.
	seriesShare     = 0.25
	maxSeriesLength = 4
	seriesInterval  = 300 * time.Millisecond
	// minFaultDuration and maxFaultDuration bound how long a fault lasts. Most timeouts of the daemon are between them.
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 4 * time.Second
)

// NewSchedule draws the faults of a soak from a seed and returns them in order of their start. The same arguments
// always give the same faults. Faults may overlap and come in series, and none ends after length.
func NewSchedule(seed uint64, length time.Duration, daemons, workers int) []Fault {
	source := func(n uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, n)) } //nolint:gosec // reproducible faults

	crashes, crashInterval := source(2), meanCrashFaultInterval //nolint:mnd // number of the source
	if crashes.Float64() < crashWaveShare {
		crashInterval /= crashWaveFactor
	}

	l := slices.Concat(
		drawFaults(source(0), mainFaultKinds, meanFaultInterval, length, daemons, workers),
		drawFaults(source(1), peerFaultKinds, meanPeerFaultInterval, length, daemons, workers),
		drawFaults(crashes, crashFaultKinds, crashInterval, length, daemons, workers),
		drawFaults(source(4), followFaultKinds, meanFollowFaultInterval, length, daemons, workers), //nolint:mnd // number of the source
		drawDeadlyPhases(source(3), length))                                                        //nolint:mnd // number of the source
	slices.SortStableFunc(l, func(a, b Fault) int { return cmp.Compare(a.start, b.start) })

	return l
}

// drawFaults draws faults of some kinds until one would end after length.
func drawFaults(r *rand.Rand, kinds []weightedKind, meanInterval, length time.Duration, daemons, workers int) []Fault {
	total := 0

	for _, k := range kinds {
		total += k.weight
	}

	var l []Fault

	for at := time.Duration(0); ; {
		at += time.Duration(r.ExpFloat64() * float64(meanInterval))

		k := kinds[0]
		n := r.IntN(total)

		for _, k = range kinds {
			if n -= k.weight; n < 0 {
				break
			}
		}

		series := 1
		if r.Float64() < seriesShare {
			series = 2 + r.IntN(maxSeriesLength-1) //nolint:mnd // a series has at least two faults
		}

		for i := range series {
			f := Fault{kind: k.kind, start: at + time.Duration(i)*seriesInterval}
			f.end = f.start + minFaultDuration + time.Duration(r.Int64N(int64(maxFaultDuration-minFaultDuration)))

			switch k.scope {
			case daemonScope:
				f.index = r.IntN(daemons)
			case workerScope:
				f.index = r.IntN(workers)
			}

			if f.end > length {
				return l
			}

			l = append(l, f)
		}
	}
}

// drawDeadlyPhases draws the phases in which prompts crash workers, in a share of the soaks. Such prompts are those of
// online requests, of items, or of both.
func drawDeadlyPhases(r *rand.Rand, length time.Duration) []Fault {
	if r.Float64() >= deadlyRunShare {
		return nil
	}

	var l []Fault

	for at := time.Duration(0); ; {
		f := Fault{start: at + time.Duration(r.ExpFloat64()*float64(meanDeadlyInterval))}
		f.end = f.start + minDeadlyDuration + time.Duration(r.Int64N(int64(maxDeadlyDuration-minDeadlyDuration)))
		at = f.end

		if f.start+minDeadlyDuration > length {
			return l
		}

		f.end = min(f.end, length)

		for _, k := range [][]FaultKind{{DeadlyOnline}, {DeadlyItems}, {DeadlyOnline, DeadlyItems}}[r.IntN(3)] {
			f.kind = k
			l = append(l, f)
		}
	}
}
