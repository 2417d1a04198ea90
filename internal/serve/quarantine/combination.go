package quarantine

import (
	"time"
)

const (
	// trialInterval is the time from the start of a quarantine to the first trial, and between trials. Sound prompts, which were
	// blamed for crashes of another cause, are released soon, even if such crashes end some trials. lastTrialInterval
	// is the time before the last trial, when the parts are hardly sound.
	trialInterval     = 2 * time.Second
	lastTrialInterval = 12 * time.Second
	// maxItemPrecedence is the time for which a trial is kept for the items that wait for it.
	maxItemPrecedence = time.Second
	// manyCrashes is the number of crashes from which the trials of a combination are counted, and maxTrials bounds
	// them. The platform expects a part of prompts to be recognized after so many crashes, and accepts three requests
	// with it afterwards. One is left for a request with only some parts of a combination.
	manyCrashes = 5
	maxTrials   = 2
	// trialPeriod is the time after which a trial without a result gives way to another one. A response begins, or its
	// target is given up, within it unless the request waits for a slot. lateTrialPeriod is the same after manyCrashes.
	trialPeriod     = 3 * time.Second
	lateTrialPeriod = 10 * time.Second
	// memoryPeriod is the time after the last crash for which a combination is remembered.
	memoryPeriod = time.Hour
	// minImportPeriod is the least time that another daemon has to remember a combination that is taken over.
	// Daemons would otherwise prolong each other's memory by the time of a message.
	minImportPeriod = time.Second
	// waitingPeriod is the time after its last slot request for which a rejected request counts as waiting for a trial.
	waitingPeriod = 5 * time.Second
	// maxMessageDelay is the usual delay of a message between daemons.
	maxMessageDelay = 100 * time.Millisecond
	// maxWaiting bounds the requests of a combination that are known to wait for a trial.
	maxWaiting = 256
)

// combination is a combination of parts that is quarantined. The lock of its service guards it.
type combination struct {
	parts      []string // sorted
	crashes    int      // of targets under prompts with the parts
	lastNumber int      // number of the last of these crashes that this daemon knows of
	lastCrash  time.Time
	manyAt     time.Time // when crashes reached manyCrashes

	// mergedUntil is the time of the last crash that an entry of another daemon includes, with the delay of a message.
	mergedUntil time.Time

	trials     int       // that were started after manyCrashes
	nextTrial  time.Time // earliest start of the next trial
	failedAt   time.Time // end of the last trial, if a crash ended it
	trial      string    // slot request on trial; empty for none
	trialUntil time.Time
	waiting    map[string]waiting // by request, batch items only
}

// waiting is a batch item that was rejected. Items can wait for a trial, as no caller waits for their next attempt.
type waiting struct {
	askedAt time.Time
	triedAt time.Time // start of its last trial; zero for none
}

// Applicant is a slot request that asks for admission.
type Applicant struct {
	slotRequest string
	request     string
	isItem      bool
}

// NewApplicant returns a slot request of an online request. slotRequest is unique among all slot requests, request is the same for
// all attempts of one request.
func NewApplicant(slotRequest, request string) Applicant {
	return Applicant{slotRequest: slotRequest, request: request}
}

// AsItem returns a copy for a batch item.
func (a Applicant) AsItem() Applicant {
	a.isItem = true

	return a
}

// Admission is the decision about a slot request. The zero value admits it.
type Admission struct {
	entry    Entry
	rejected bool
	trial    bool
	started  bool
}

// Rejected returns the combination because of which the request is rejected; false if it is admitted.
func (a Admission) Rejected() (Entry, bool) { return a.entry, a.rejected }

// IsTrial reports whether the request tries a quarantined combination.
func (a Admission) IsTrial() bool { return a.trial }

// HasStarted reports whether the trial starts with this decision.
func (a Admission) HasStarted() bool { return a.started }

// start starts the quarantine with the number of crashes so far, that of those that count as trials, and the number of the
// last one.
func (c *combination) start(crashes, trials, lastNumber int, now time.Time) {
	c.lastNumber = lastNumber
	c.crashes, c.trials, c.lastCrash = max(c.crashes, crashes), max(c.trials, trials), now
	c.nextTrial = now.Add(trialInterval)
	c.noteMany(now)
}

// noteMany records when the number of crashes has reached manyCrashes.
func (c *combination) noteMany(now time.Time) {
	if c.crashes >= manyCrashes && c.manyAt.IsZero() {
		c.manyAt = now
	}
}

// addCrash counts a crash under a prompt with the parts, and reports whether it has ended a trial.
func (c *combination) addCrash(number int, n Crash, now time.Time) bool {
	// Another attempt that the same crash has ended does not count, nor does a crash that another daemon has counted.
	isCounted := number <= c.lastNumber || now.Before(c.mergedUntil)
	if !isCounted {
		c.lastNumber, c.lastCrash = number, now
		c.crashes++
		c.noteMany(now)
	}

	if c.trial != "" && c.trial == n.slotRequest {
		c.trial, c.failedAt = "", now

		return true
	}

	// Another daemon has started its trial, unless the request was sent before the quarantine.
	if !isCounted && c.crashes > manyCrashes && now.Sub(c.manyAt) > settlingTime {
		c.trials++
		c.failedAt = now
	}

	return false
}

// interval returns the time to the next trial after a failed one.
func (c *combination) interval() time.Duration {
	if c.crashes >= manyCrashes && c.trials == maxTrials-1 {
		return lastTrialInterval
	}

	return trialInterval
}

// hasTrialsLeft reports whether further trials are allowed.
func (c *combination) hasTrialsLeft() bool { return c.crashes < manyCrashes || c.trials < maxTrials }

func (c *combination) isForgotten(now time.Time) bool { return now.Sub(c.lastCrash) >= memoryPeriod }

// readyAt returns the earliest start of the next trial.
func (c *combination) readyAt() time.Time {
	at := c.nextTrial

	switch {
	case !c.hasTrialsLeft():
		return c.lastCrash.Add(memoryPeriod)
	case c.trial != "":
		return c.trialUntil
	}

	if next := c.failedAt.Add(c.interval()); !c.failedAt.IsZero() && next.After(at) {
		return next
	}

	return at
}

// remaining returns the time until a request may try the combination.
func (c *combination) remaining(now time.Time) time.Duration { return max(0, c.readyAt().Sub(now)) }

func (c *combination) entry(service string, now time.Time) Entry {
	return NewEntry(service, c.parts, c.remaining(now)).WithHistory(c.crashes, c.trials, now.Sub(c.lastCrash))
}

// isReadyFor reports whether a slot request may try the combination now, and records that its request waits for that
// if not. The trial goes to the item that has waited the longest since its last one, and to other requests if no item
// waits or none has come for it.
func (c *combination) isReadyFor(a Applicant, now time.Time) bool {
	if c.trial == a.slotRequest {
		return true
	}

	own, ready := c.noteWaiting(a, now), c.readyAt()
	if now.Before(ready) {
		return false
	}

	if !a.isItem && now.Sub(ready) >= maxItemPrecedence {
		return true
	}

	for k, w := range c.waiting {
		if k != a.request && now.Sub(w.askedAt) < waitingPeriod && (!a.isItem || w.triedAt.Before(own.triedAt)) {
			return false
		}
	}

	return true
}

// noteWaiting records that an item waits for a trial, and returns what is known of it.
func (c *combination) noteWaiting(a Applicant, now time.Time) waiting {
	if !a.isItem {
		return waiting{}
	}

	w, ok := c.waiting[a.request]
	if !ok && len(c.waiting) >= maxWaiting {
		for k, o := range c.waiting {
			if now.Sub(o.askedAt) >= memoryPeriod || now.Sub(o.askedAt) >= waitingPeriod && o.triedAt.IsZero() {
				delete(c.waiting, k)
			}
		}

		if len(c.waiting) >= maxWaiting {
			return waiting{}
		}
	}

	if c.waiting == nil {
		c.waiting = map[string]waiting{}
	}

	w.askedAt = now
	c.waiting[a.request] = w

	return w
}

// startTrial lets a slot request try the combination, and reports whether it did not do so already.
func (c *combination) startTrial(a Applicant, now time.Time) bool {
	if c.trial == a.slotRequest {
		return false
	}

	period := trialPeriod

	if c.crashes >= manyCrashes {
		period = lateTrialPeriod
		c.trials++
	}

	c.trial, c.trialUntil = a.slotRequest, now.Add(period)

	if w, ok := c.waiting[a.request]; ok {
		w.triedAt = now
		c.waiting[a.request] = w
	}

	return true
}

// endTrial ends the trial of a slot request that has shown nothing.
func (c *combination) endTrial(sent bool, now time.Time) {
	c.trial = ""

	if sent {
		c.nextTrial = now.Add(trialInterval)

		return
	}

	c.nextTrial = now
	if c.crashes >= manyCrashes {
		c.trials = max(0, c.trials-1)
	}
}

// merge takes over what another daemon knows about the combination.
func (c *combination) merge(e Entry, now time.Time) {
	if at := now.Add(-e.age); at.After(c.lastCrash) {
		c.lastCrash = at
	}

	if e.crashes > c.crashes || e.trials > c.trials {
		if e.crashes > c.crashes {
			c.mergedUntil = now.Add(maxMessageDelay - e.age)
		}

		c.crashes, c.trials = max(c.crashes, e.crashes), max(c.trials, e.trials)
		c.noteMany(now)

		if at := now.Add(min(e.remaining, lateTrialPeriod)); at.After(c.nextTrial) {
			c.nextTrial = at
		}
	}
}
