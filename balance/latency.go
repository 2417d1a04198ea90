package balance

import (
	"slices"
	"time"
)

const (
	// latencySmoothing is the weight of a new observation in the moving averages, which cover about the last five.
	latencySmoothing = 0.3
	// slowRatio is the multiple of the median of its peers from which a time of a target counts as slow.
	slowRatio = 3
	// slowSlack is added to the bound on the time to the first token, so that short times do not count as slow: timers are
	// no finer.
	slowSlack = 10 * time.Millisecond
	// ejectionThreshold is the number of consecutive slow responses after which a target is ejected.
	ejectionThreshold = 3
	// minProbeInterval and maxProbeInterval bound the time between two probes of an ejected target. It doubles with each
	// probe.
	minProbeInterval = 500 * time.Millisecond
	maxProbeInterval = 4 * time.Second
)

// latency has the latencies of a target as observed by this daemon, and its ejection state.
type latency struct {
	firstToken, perToken float64
	consecutiveSlow            int
	ejected              bool
	probeInterval        time.Duration
	nextProbe            time.Time
}

// observe records the time to the first token and the mean time between tokens of a response; 0 is unknown. An ejected
// target returns to use when a response is not slow.
func (l *latency) observe(now time.Time, firstToken, perToken time.Duration, peers medians) {
	if peers.isSlow(firstToken, perToken) {
		l.consecutiveSlow++

		if l.ejected {
			l.scheduleProbe(now)
		}
	} else {
		if l.ejected { // the target has recovered, so earlier observations no longer apply
			*l = latency{}
		}

		l.consecutiveSlow = 0
	}

	l.firstToken = smooth(l.firstToken, firstToken)
	l.perToken = smooth(l.perToken, perToken)
}

// smooth returns the moving average after the new value v, which is ignored if it is unknown.
func smooth(mean float64, v time.Duration) float64 {
	switch {
	case v <= 0:
		return mean
	case mean == 0:
		return float64(v)
	default:
		return mean + latencySmoothing*(float64(v)-mean)
	}
}

// recordSlow counts a failed response, or a first token that is overdue, as a slow response.
func (l *latency) recordSlow() { l.consecutiveSlow++ }

// eject ejects the target: until it recovers, it gets only probes.
func (l *latency) eject(now time.Time) {
	l.ejected, l.probeInterval = true, 0
	l.scheduleProbe(now)
}

func (l *latency) scheduleProbe(now time.Time) {
	l.probeInterval = min(maxProbeInterval, max(minProbeInterval, 2*l.probeInterval))
	l.nextProbe = now.Add(l.probeInterval)
}

// startProbe reports whether an ejected target may be probed now. If so, it schedules the next probe.
func (l *latency) startProbe(now time.Time) bool {
	if !l.ejected || now.Before(l.nextProbe) {
		return false
	}

	l.scheduleProbe(now)

	return true
}

// weight returns a weight between 0 and 1, which is lower the slower the target is compared with its peers.
func (l *latency) weight(peers medians) float64 {
	w := 1.0
	if l.perToken > peers.perToken && l.perToken > 0 {
		w = min(w, peers.perToken/l.perToken)
	}

	if l.firstToken > peers.firstToken+float64(slowSlack) {
		w = min(w, (peers.firstToken+float64(slowSlack))/l.firstToken)
	}

	return w
}

// medians has the medians of the latencies of the targets of a service; 0 is unknown.
type medians struct {
	firstToken, perToken float64
}

// isSlow reports whether the times of a response are slow compared with the medians.
func (m medians) isSlow(firstToken, perToken time.Duration) bool {
	return m.perToken > 0 && float64(perToken) > slowRatio*m.perToken ||
		m.firstToken > 0 && float64(firstToken) > slowRatio*m.firstToken+float64(slowSlack)
}

func mediansOf(targets []*targetState) medians {
	var firstTokens, perTokens []float64

	for _, v := range targets {
		if v.latency.firstToken > 0 {
			firstTokens = append(firstTokens, v.latency.firstToken)
		}

		if v.latency.perToken > 0 {
			perTokens = append(perTokens, v.latency.perToken)
		}
	}

	return medians{firstToken: median(firstTokens), perToken: median(perTokens)}
}

// median returns the lower median, or 0 for an empty list. It sorts the list.
func median(l []float64) float64 {
	if len(l) == 0 {
		return 0
	}

	slices.Sort(l)

	return l[(len(l)-1)/2]
}
