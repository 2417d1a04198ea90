package member

import "time"

// Bounds are the intervals and timeouts of the gossip protocol. A zero duration stands for its default.
type Bounds struct {
	probeInterval, replyTimeout, suspectTimeout, exchangeInterval time.Duration
}

// NewBounds returns bounds with the interval between probes, the wait of a probe for its reply, the time from suspicion
// to removal, and the interval between exchanges with other failure domains.
func NewBounds(probeInterval, replyTimeout, suspectTimeout, exchangeInterval time.Duration) Bounds {
	return Bounds{
		probeInterval: probeInterval, replyTimeout: replyTimeout, suspectTimeout: suspectTimeout,
		exchangeInterval: exchangeInterval,
	}
}

const (
	// defaultProbeInterval gives two probes a second. With replies, a daemon sends and receives eight messages a second,
	// which is about half of the 2 KB/s that it may use.
	defaultProbeInterval = 500 * time.Millisecond
	// defaultReplyTimeout is far above the network latency of 1 to 2 ms and covers scheduling delays on small VMs.
	defaultReplyTimeout = 400 * time.Millisecond
	// defaultSuspectTimeout gives a suspected daemon several probes in which to refute the suspicion.
	defaultSuspectTimeout   = 4 * time.Second
	defaultExchangeInterval = 10 * time.Second
)

func (b Bounds) withDefaults() Bounds {
	for _, v := range []struct {
		d   *time.Duration
		def time.Duration
	}{
		{&b.probeInterval, defaultProbeInterval},
		{&b.replyTimeout, defaultReplyTimeout},
		{&b.suspectTimeout, defaultSuspectTimeout},
		{&b.exchangeInterval, defaultExchangeInterval},
	} {
		if *v.d == 0 {
			*v.d = v.def
		}
	}

	return b
}

// ProbeInterval returns the interval between two probes.
func (b Bounds) ProbeInterval() time.Duration { return b.withDefaults().probeInterval }

// ReplyTimeout returns how long a probe waits for its reply.
func (b Bounds) ReplyTimeout() time.Duration { return b.withDefaults().replyTimeout }

const (
	// maxIndirectChecks is the number of peers that are asked to check a daemon that does not reply. With three, one lossy
	// path rarely causes a false suspicion.
	maxIndirectChecks = 3
	// healProbeIntervals is the number of probe intervals between two probes of daemons outside the view. These probes
	// reunite the two sides after a network partition.
	healProbeIntervals = 4
	// pauseIntervals is the number of probe intervals without a tick after which this process is taken to have been paused
	// itself. Timeouts that passed during the pause say nothing about other daemons.
	pauseIntervals = 4
	// startupGracePeriod is how long after its start a daemon treats daemons of the platform's list as live without having
	// heard of them. It covers several probes outside the view.
	startupGracePeriod = 10 * time.Second
	// minSyncInterval limits the rate of full syncs, which take several KB at 43 daemons.
	minSyncInterval = 10 * time.Second
	// retransmitFactor times the logarithm of the number of daemons is how many times each daemon sends a change.
	retransmitFactor = 3
	// removedRetention is how long the entry of a removed daemon is kept if none of its incarnations left. It is longer
	// than a stale report can circulate between daemons.
	removedRetention = 10 * time.Minute
	// leavingRetention is how long the entry of a daemon is kept of which an incarnation left. It is longer than the
	// platform's list can lag or a process can be paused.
	leavingRetention = 24 * time.Hour
	// maxSyncedLeavingAge is the age up to which full syncs include a leaving daemon. Without this limit, daemons would
	// pass its entry on to each other forever.
	maxSyncedLeavingAge = time.Hour
	// departureRetention and maxSyncedDepartureAge are leavingRetention and maxSyncedLeavingAge for leaving targets.
	departureRetention    = 7 * 24 * time.Hour
	maxSyncedDepartureAge = 6 * 24 * time.Hour
	// maxListLag bounds the assumed lag of the platform's list. If the list shows a daemon as leaving within this time
	// after a new incarnation appeared, the entry is taken to mean the previous incarnation, which left.
	maxListLag = time.Minute
	// maxRemoteAge is how long a reply from another failure domain takes precedence over the platform's list.
	maxRemoteAge = 3 * time.Minute
)

const (
	// maxHeartbeatChanges bounds the changes and departures of one heartbeat: 8 changes are about 400 bytes.
	maxHeartbeatChanges = 8
	// maxSyncEntries bounds the changes and the departures of a full sync, and the daemons that messages add to each shard
	// of the table. A failure domain has about 43 daemons and 75 targets.
	maxSyncEntries = 4096
	// maxNameBytes bounds the length of names and addresses in messages.
	maxNameBytes = 128
)
