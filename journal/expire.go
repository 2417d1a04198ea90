package journal

import "time"

// expiryIndex has the work that ended, by the minute in which its retention is over.
type expiryIndex struct {
	lastMinute int64
	keysByMinute   map[int64][]Key
}

// add notes that the result under k expires at t.
func (d *expiryIndex) add(k Key, t time.Time) {
	if d.keysByMinute == nil {
		d.keysByMinute = map[int64][]Key{}
	}

	m := minuteOf(t) + 1
	d.keysByMinute[m] = append(d.keysByMinute[m], k)
}

// removeExpired returns the keys whose minute is over at time t, at most once a minute.
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

// Expire drops ended work and jobs whose retention is over at the log's time, and returns their number. Replay
// does the same once a minute of the log's time; lookups never return them.
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

// expireEachMinute drops what expired since the last minute of the log's time.
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
