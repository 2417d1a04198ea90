package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind is a kind of fault.
type FaultKind string

// Kinds of faults. Those of daemons are signals to their processes; those of links are injected by a proxy.
const (
	Kill          FaultKind = "kill"            // SIGKILL; the daemon starts again when the fault ends
	KillMany      FaultKind = "kill_many"       // half of the daemons at the same moment
	Pause         FaultKind = "pause"           // SIGSTOP, and SIGCONT when the fault ends
	Stop          FaultKind = "stop"            // SIGTERM; the daemon starts again after its shutdown
	Reload        FaultKind = "reload"          // SIGHUP
	StoreLinkCut  FaultKind = "store_link_cut"  // the store takes no connections of a daemon
	StoreLinkDeaf FaultKind = "store_link_deaf" // the answers of the store to a daemon are lost
	StoreLinkSlow FaultKind = "store_link_slow" // bytes between a daemon and the store are delayed
	StoreDown     FaultKind = "store_down"      // the store refuses every call
	StoreSilent   FaultKind = "store_silent"    // the store answers no call
	StoreSlow     FaultKind = "store_slow"      // the store answers late
	StoreLossy    FaultKind = "store_lossy"     // appends are made, at once or later, and not answered
	StoreForgets  FaultKind = "store_forgets"   // the store keeps one record of each partition
	PeersCut      FaultKind = "peers_cut"       // no other daemon reaches a daemon, which reaches them
	PeersDeaf     FaultKind = "peers_deaf"      // the calls of other daemons arrive at a daemon, and its answers are lost
	PeersSilent   FaultKind = "peers_silent"    // the open connections of other daemons to a daemon go silent for good
	PeersReset    FaultKind = "peers_reset"     // the open connections of other daemons to a daemon are reset
	PeersSlow     FaultKind = "peers_slow"      // bytes between a daemon and those that call it are delayed
	WorkerCut     FaultKind = "worker_cut"      // a worker takes no connections
	WorkerReset   FaultKind = "worker_reset"    // the open connections to a worker are reset
	WorkerSilent  FaultKind = "worker_silent"   // the open connections to a worker go silent for good
	WorkerSlow    FaultKind = "worker_slow"     // bytes between a worker and the daemons are delayed
	WorkerBreaks  FaultKind = "worker_breaks"   // the answers of a worker break off in the middle of an event
	WorkerLeaves  FaultKind = "worker_leaves"   // a worker reports that it is leaving, and comes back
	Configure     FaultKind = "configure"       // the operator adds a route
)

// scope says what a kind of fault is done to.
type scope uint8

const (
	daemonScope scope = iota
	workerScope
	systemScope
)

// weightedKind is a kind of fault with what it is done to and its relative frequency.
type weightedKind struct {
	kind   FaultKind
	scope     scope
	weight int
}

// peerFaultKinds are the faults of the connections between daemons. They have a schedule of their own, so that the seeds that
// broke a promise before there were such faults still draw the others.
var peerFaultKinds = []weightedKind{
	{PeersCut, daemonScope, 3},
	{PeersDeaf, daemonScope, 2},
	{PeersSilent, daemonScope, 2},
	{PeersReset, daemonScope, 2},
	{PeersSlow, daemonScope, 1},
}

// mainFaultKinds has all other kinds of faults.
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

// Fault is one fault of a schedule.
type Fault struct {
	kind  FaultKind
	index int // of the daemon or the worker
	start time.Duration
	end   time.Duration
}

// Kind returns the kind.
func (f Fault) Kind() FaultKind { return f.kind }

// Index returns the number of the daemon or worker that it is done to.
func (f Fault) Index() int { return f.index }

// Start returns the time from the start of the soak.
func (f Fault) Start() time.Duration { return f.start }

// End returns the time at which what was broken works again.
func (f Fault) End() time.Duration { return f.end }

const (
	// meanFaultInterval is the mean time between two faults that are drawn on their own.
	meanFaultInterval = 900 * time.Millisecond
	// meanPeerFaultInterval is the same for the faults between daemons.
	meanPeerFaultInterval = 2500 * time.Millisecond
	// seriesShare of the faults come as a series of the same kind, seriesMost at most, seriesGap apart.
	seriesShare = 0.25
	maxSeriesLength  = 4
	seriesInterval   = 300 * time.Millisecond
	// minFaultDuration and faultMost bound how long a fault lasts. Most of the product's time limits lie between them.
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration  = 4 * time.Second
)

// NewSchedule draws the faults of a soak from a seed, in order of their start. Faults overlap and come in series; all of
// them end before length.
func NewSchedule(seed uint64, length time.Duration, daemons, workers int) []Fault {
	l := append(
		drawFaults(rand.New(rand.NewPCG(seed, 0)), mainFaultKinds, meanFaultInterval, length, daemons, workers),       //nolint:gosec // repeatable faults
		drawFaults(rand.New(rand.NewPCG(seed, 1)), peerFaultKinds, meanPeerFaultInterval, length, daemons, workers)...) //nolint:gosec // repeatable faults
	slices.SortStableFunc(l, func(a, b Fault) int { return cmp.Compare(a.start, b.start) })

	return l
}

// drawFaults draws faults of some kinds that start a mean time apart.
func drawFaults(r *rand.Rand, kinds []weightedKind, gap, length time.Duration, daemons, workers int) []Fault {
	total := 0

	for _, k := range kinds {
		total += k.weight
	}

	var l []Fault

	for at := time.Duration(0); ; {
		at += time.Duration(r.ExpFloat64() * float64(gap))

		k := kinds[0]
		n := r.IntN(total)

		for _, k = range kinds {
			if n -= k.weight; n < 0 {
				break
			}
		}

		series := 1
		if r.Float64() < seriesShare {
			series = 2 + r.IntN(maxSeriesLength-1) //nolint:mnd // a series has two at least
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
