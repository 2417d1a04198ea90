package journal

import "time"

// expiryIndex has the keys of ended work by the first full minute of log time after the end of their retention, so that
// replay need not scan all work for expired work.
type expiryIndex struct {
	lastMinute   int64
	keysByMinute map[int64][]Key
}

// add schedules the removal of the work under k, whose retention ends at t.
func (d *expiryIndex) add(k Key, t time.Time) {
	if d.keysByMinute == nil {
		d.keysByMinute = map[int64][]Key{}
	}

	m := minuteOf(t) + 1
	d.keysByMinute[m] = append(d.keysByMinute[m], k)
}

// removeExpired removes and returns the keys whose retention is over at log time t. It reports false and removes
// nothing if t is in the same minute as at the last call.
func (d *expiryIndex) removeExpired(t time.Time) ([]Key, bool) {
	n := minuteOf(t)
	if n == d.lastMinute {
		return nil, false
	}

	d.lastMinute = n

	var l []Key

	for m, k := range d.keysByMinute {
		if m <= n {
			l = append(l, k...)

			delete(d.keysByMinute, m)
		}
	}

	return l, true
}

func minuteOf(t time.Time) int64 { return t.Unix() / int64(time.Minute/time.Second) }

// Expire removes ended work and jobs whose retention is over at the log time, and returns their number. Replay does
// the same once per minute of log time. Lookups never return expired work or jobs, whether or not they were removed.
func (p *Partition) Expire() int {
	p.mu.Lock()
	defer p.mu.Unlock()

	n := 0

	for k, w := range p.work {
		if w.isExpired(p.logTime) {
			delete(p.work, k)
			n++
		}
	}

	return n + p.removeExpiredJobs()
}

// expireEachMinute removes expired work and jobs, at most once per minute of log time.
func (p *Partition) expireEachMinute() {
	l, ok := p.expiries.removeExpired(p.logTime)
	if !ok {
		return
	}

	for _, k := range l {
		if w, found := p.work[k]; found && w.isExpired(p.logTime) {
			delete(p.work, k)
		}
	}

	p.removeExpiredJobs()
}

func (p *Partition) removeExpiredJobs() int {
	n := 0

	for id, j := range p.jobs {
		if j.IsExpired(p.logTime) {
			delete(p.jobs, id)
			n++
		}
	}

	return n
}
