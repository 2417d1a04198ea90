package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// Kinds of faults. Those of daemons are signals to their processes; those of links are injected by a proxy.
const (
	Kill          Kind = "kill"            // SIGKILL; the daemon starts again when the fault ends
	KillMany      Kind = "kill_many"       // half of the daemons at the same moment
	Pause         Kind = "pause"           // SIGSTOP, and SIGCONT when the fault ends
	Stop          Kind = "stop"            // SIGTERM; the daemon starts again after its shutdown
	Reload        Kind = "reload"          // SIGHUP
	StoreLinkCut  Kind = "store_link_cut"  // the store takes no connections of a daemon
	StoreLinkDeaf Kind = "store_link_deaf" // the answers of the store to a daemon are lost
	StoreLinkSlow Kind = "store_link_slow" // bytes between a daemon and the store are delayed
	StoreDown     Kind = "store_down"      // the store refuses every call
	StoreSilent   Kind = "store_silent"    // the store answers no call
	StoreSlow     Kind = "store_slow"      // the store answers late
	StoreLossy    Kind = "store_lossy"     // appends are made, at once or later, and not answered
	StoreForgets  Kind = "store_forgets"   // the store keeps one record of each partition
	PeersCut      Kind = "peers_cut"       // no other daemon reaches a daemon, which reaches them
	PeersDeaf     Kind = "peers_deaf"      // the calls of other daemons arrive at a daemon, and its answers are lost
	PeersSilent   Kind = "peers_silent"    // the open connections of other daemons to a daemon go silent for good
	PeersReset    Kind = "peers_reset"     // the open connections of other daemons to a daemon are reset
	PeersSlow     Kind = "peers_slow"      // bytes between a daemon and those that call it are delayed
	WorkerCut     Kind = "worker_cut"      // a worker takes no connections
	WorkerReset   Kind = "worker_reset"    // the open connections to a worker are reset
	WorkerSilent  Kind = "worker_silent"   // the open connections to a worker go silent for good
	WorkerSlow    Kind = "worker_slow"     // bytes between a worker and the daemons are delayed
	WorkerBreaks  Kind = "worker_breaks"   // the answers of a worker break off in the middle of an event
	WorkerLeaves  Kind = "worker_leaves"   // a worker reports that it is leaving, and comes back
	Configure     Kind = "configure"       // the operator adds a route
)

// of says what a kind of fault is done to.
type of uint8

const (
	ofDaemon of = iota
	ofWorker
	ofStore
)

// drawn is a kind of fault with what it is done to and its relative frequency.
type drawn struct {
	kind   Kind
	of     of
	weight int
}

// peerKinds are the faults of the connections between daemons. They have a schedule of their own, so that the seeds that
// broke a promise before there were such faults still draw the others.
var peerKinds = []drawn{
	{PeersCut, ofDaemon, 3},
	{PeersDeaf, ofDaemon, 2},
	{PeersSilent, ofDaemon, 2},
	{PeersReset, ofDaemon, 2},
	{PeersSlow, ofDaemon, 1},
}

// kinds has all other kinds of faults.
var kinds = []drawn{
	{Kill, ofDaemon, 4},
	{KillMany, ofStore, 1},
	{Pause, ofDaemon, 4},
	{Stop, ofDaemon, 5},
	{Reload, ofDaemon, 1},
	{StoreLinkCut, ofDaemon, 3},
	{StoreLinkDeaf, ofDaemon, 3},
	{StoreLinkSlow, ofDaemon, 2},
	{StoreDown, ofStore, 2},
	{StoreSilent, ofStore, 1},
	{StoreSlow, ofStore, 2},
	{StoreLossy, ofStore, 3},
	{StoreForgets, ofStore, 2},
	{WorkerCut, ofWorker, 3},
	{WorkerReset, ofWorker, 3},
	{WorkerSilent, ofWorker, 3},
	{WorkerSlow, ofWorker, 2},
	{WorkerBreaks, ofWorker, 3},
	{WorkerLeaves, ofWorker, 3},
	{Configure, ofStore, 4},
}

// Fault is one fault of a schedule.
type Fault struct {
	kind  Kind
	index int // of the daemon or the worker
	start time.Duration
	end   time.Duration
}

// Kind returns the kind.
func (f Fault) Kind() Kind { return f.kind }

// Index returns the number of the daemon or worker that it is done to.
func (f Fault) Index() int { return f.index }

// Start returns the time from the start of the soak.
func (f Fault) Start() time.Duration { return f.start }

// End returns the time at which what was broken works again.
func (f Fault) End() time.Duration { return f.end }

const (
	// faultGap is the mean time between two faults that are drawn on their own.
	faultGap = 900 * time.Millisecond
	// peerGap is the same for the faults between daemons.
	peerGap = 2500 * time.Millisecond
	// seriesShare of the faults come as a series of the same kind, seriesMost at most, seriesGap apart.
	seriesShare = 0.25
	seriesMost  = 4
	seriesGap   = 300 * time.Millisecond
	// faultLeast and faultMost bound how long a fault lasts. Most of the product's time limits lie between them.
	faultLeast = 200 * time.Millisecond
	faultMost  = 4 * time.Second
)

// Schedule draws the faults of a soak from a seed, in order of their start. Faults overlap and come in series; all of
// them end before length.
func Schedule(seed uint64, length time.Duration, daemons, workers int) []Fault {
	l := append(
		draw(rand.New(rand.NewPCG(seed, 0)), kinds, faultGap, length, daemons, workers),       //nolint:gosec // repeatable faults
		draw(rand.New(rand.NewPCG(seed, 1)), peerKinds, peerGap, length, daemons, workers)...) //nolint:gosec // repeatable faults
	slices.SortStableFunc(l, func(a, b Fault) int { return cmp.Compare(a.start, b.start) })

	return l
}

// draw draws faults of some kinds that start a mean time apart.
func draw(r *rand.Rand, kinds []drawn, gap, length time.Duration, daemons, workers int) []Fault {
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
			series = 2 + r.IntN(seriesMost-1) //nolint:mnd // a series has two at least
		}

		for i := range series {
			f := Fault{kind: k.kind, start: at + time.Duration(i)*seriesGap}
			f.end = f.start + faultLeast + time.Duration(r.Int64N(int64(faultMost-faultLeast)))

			switch k.of {
			case ofDaemon:
				f.index = r.IntN(daemons)
			case ofWorker:
				f.index = r.IntN(workers)
			}

			if f.end > length {
				return l
			}

			l = append(l, f)
		}
	}
}
