package sched

import (
	"slices"
	"time"
)

// waitQueue has the waiting requests of one kind: for each account those in the order of compareByDeadline.
type waitQueue struct {
	accounts map[string][]waitingRequest
	count    int
}

// compareByDeadline orders requests by deadline, those without one last, and then by their time of arrival.
func compareByDeadline(a, b waitingRequest) int {
	switch x, y := a.request.deadline, b.request.deadline; {
	case x.Equal(y):
		return a.since.Compare(b.since)
	case x.IsZero():
		return 1
	case y.IsZero():
		return -1
	default:
		return x.Compare(y)
	}
}

func (l *waitQueue) add(w waitingRequest) {
	if l.accounts == nil {
		l.accounts = map[string][]waitingRequest{}
	}

	s := l.accounts[w.request.account]

	i := len(s)
	for i > 0 && compareByDeadline(w, s[i-1]) < 0 {
		i--
	}

	l.accounts[w.request.account] = slices.Insert(s, i, w)
	l.count++
}

// dequeue removes and returns the earliest of the first requests of the accounts. Requests that pass the preferred test
// go first. The queue must not be empty.
func (l *waitQueue) dequeue(preferred func(w waitingRequest) bool) waitingRequest {
	var best, earliest *waitingRequest

	for _, s := range l.accounts {
		w := &s[0]
		if earliest == nil || isEarlier(*w, *earliest) {
			earliest = w
		}

		if preferred(*w) && (best == nil || isEarlier(*w, *best)) {
			best = w
		}
	}

	if best == nil {
		best = earliest
	}

	w := *best
	l.setRequests(w.request.account, l.accounts[w.request.account][1:])

	return w
}

// isEarlier reports whether a goes before b, a request of another account. The identifier breaks ties, so that the
// order does not depend on the iteration order of the map.
func isEarlier(a, b waitingRequest) bool {
	c := compareByDeadline(a, b)

	return c < 0 || c == 0 && a.request.id < b.request.id
}

// remove removes a request and reports whether it was in the queue.
func (l *waitQueue) remove(r SlotRequest) bool {
	s := l.accounts[r.account]

	i := slices.IndexFunc(s, func(w waitingRequest) bool { return w.request.id == r.id })
	if i < 0 {
		return false
	}

	l.setRequests(r.account, append(s[:i:i], s[i+1:]...))

	return true
}

// removeIf removes and returns the requests that pass the test.
func (l *waitQueue) removeIf(f func(w waitingRequest) bool) []waitingRequest {
	var removed []waitingRequest

	for a, s := range l.accounts {
		if !slices.ContainsFunc(s, f) {
			continue
		}

		var kept []waitingRequest

		for _, w := range s {
			if f(w) {
				removed = append(removed, w)
			} else {
				kept = append(kept, w)
			}
		}

		l.setRequests(a, kept)
	}

	return removed
}

// setRequests replaces the requests of an account and updates the count.
func (l *waitQueue) setRequests(account string, s []waitingRequest) {
	l.count += len(s) - len(l.accounts[account])

	if len(s) == 0 {
		delete(l.accounts, account)
	} else {
		l.accounts[account] = s
	}
}

// countUntil returns the number of requests with a deadline up to t, or of all requests if t is zero.
func (l *waitQueue) countUntil(t time.Time) int {
	if t.IsZero() {
		return l.count
	}

	n := 0

	for _, s := range l.accounts {
		i, _ := slices.BinarySearchFunc(s, t, func(w waitingRequest, t time.Time) int {
			if w.request.deadline.IsZero() || w.request.deadline.After(t) {
				return 1
			}

			return -1
		})
		n += i
	}

	return n
}
