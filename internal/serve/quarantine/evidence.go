package quarantine

import (
	"slices"
	"time"
)

const (
	// minCrashes is the number of crashes under a shared part, or under the same prompt, before it is quarantined.
	minCrashes = 3
	// minPrompts is the number of different prompts among them that a shared part needs, as a prompt is often sent again
	// after a crash.
	minPrompts = 2
	// crashSpacing is the least time between two crashes of the same incarnation of a target. Requests that end within it
	// were ended by the same crash.
	crashSpacing = time.Second
	// settlingTime is the time after manyCrashes in which requests that were sent before may still crash targets.
	settlingTime = 3 * time.Second
	// evidencePeriod is the time for which a crash counts.
	evidencePeriod = 10 * time.Minute
	// maxCrashes bounds the crashes that are kept of a service. The oldest ones are dropped.
	maxCrashes = 256
)

// evidence has the crashes of the targets of a service under prompts with suspect parts. The zero value has none.
type evidence struct {
	crashes    []suspectCrash // one for each request that a crash ended
	lastNumber int
}

// suspectCrash is a crash of a target with the prompt of the attempt that it ended.
type suspectCrash struct {
	Crash

	prompt    Prompt // without the parts that were known to be sound
	at        time.Time
	number    int  // the same for all requests that one crash ended
	explained bool // a prompt that is known to crash targets has caused it
}

// add adds a crash and removes those that no longer count. It returns the number of the crash, and whether the same crash under the same
// attempt is not known yet.
func (e *evidence) add(n suspectCrash) (int, bool) {
	e.crashes = slices.DeleteFunc(e.crashes, func(c suspectCrash) bool { return n.at.Sub(c.at) >= evidencePeriod })

	for _, c := range e.crashes {
		if c.incarnation() != n.incarnation() {
			continue
		}

		// The report of the crash may arrive again, and late.
		if n.slotRequest != "" && c.slotRequest == n.slotRequest {
			return c.number, false
		}

		if n.at.Sub(c.at) < crashSpacing {
			n.number, n.explained = c.number, c.explained
		}
	}

	if n.number == 0 {
		e.lastNumber++
		n.number = e.lastNumber
	}

	if len(e.crashes) >= maxCrashes {
		e.crashes = e.crashes[1:]
	}

	e.crashes = append(e.crashes, n)

	return n.number, true
}

// clear removes the crashes under a prompt that is sound, and its parts from the others.
func (e *evidence) clear(p Prompt) {
	e.crashes = slices.DeleteFunc(e.crashes, func(c suspectCrash) bool { return c.prompt.own == p.own })

	e.clearParts(p.shared)
}

// clearParts removes shared parts that are sound from all crashes.
func (e *evidence) clearParts(parts []string) {
	for i := range e.crashes {
		// Reports of the crash use the old slice without the lock.
		e.crashes[i].prompt.shared = slices.DeleteFunc(slices.Clone(e.crashes[i].prompt.shared), func(id string) bool { return slices.Contains(parts, id) })
	}
}

// hasPrompt reports whether there is a crash under the prompt with an own part.
func (e *evidence) hasPrompt(own string) bool {
	return slices.ContainsFunc(e.crashes, func(c suspectCrash) bool { return c.prompt.own == own })
}

// with returns the crashes under prompts with all of some parts, one for each attempt that they ended.
func (e *evidence) with(parts []string) []Crash {
	var l []Crash

	for _, c := range e.crashes {
		if c.prompt.hasAll(parts) {
			l = append(l, c.Crash)
		}
	}

	return l
}

// count returns the number of crashes that the worst one of some parts may have caused, and how many of them came when
// enough were known, so that they count as trials.
func (e *evidence) count(parts []string) (crashes, trials int) {
	for _, id := range parts {
		var l []time.Time // of crashes, in order

		numbers := map[int]bool{}

		for _, c := range e.crashes {
			if c.prompt.has(id) && !numbers[c.number] {
				numbers[c.number] = true

				l = append(l, c.at)
			}
		}

		late := 0

		for i := manyCrashes; i < len(l); i++ {
			if l[i].Sub(l[manyCrashes-1]) > settlingTime {
				late++
			}
		}

		crashes, trials = max(crashes, len(l)), max(trials, late)
	}

	return crashes, trials
}

// explain records that the crash with a number was caused by a prompt that is known to crash targets.
func (e *evidence) explain(number int) {
	for i := range e.crashes {
		if e.crashes[i].number == number {
			e.crashes[i].explained = true
		}
	}
}

// explainWith is like explain, for the crashes under prompts with all of some parts.
func (e *evidence) explainWith(parts []string) {
	numbers := map[int]bool{}

	for _, c := range e.crashes {
		if c.prompt.hasAll(parts) {
			numbers[c.number] = true
		}
	}

	for i := range e.crashes {
		e.crashes[i].explained = e.crashes[i].explained || numbers[e.crashes[i].number]
	}
}

// countUnexplained returns the number of crashes under the prompt with an own part that were not caused by another prompt as far as is
// known.
func (e *evidence) countUnexplained(own string) int {
	numbers := map[int]bool{}

	for _, c := range e.crashes {
		if c.prompt.own == own && !c.explained {
			numbers[c.number] = true
		}
	}

	return len(numbers)
}

// commonParts returns the parts that have caused enough crashes to be quarantined in combination, sorted; nil if there
// are none. They are one of the given parts and the parts that are suspect in all crashes under it. suspects returns the
// shared parts of a prompt that are not known to be sound.
func (e *evidence) commonParts(parts []string, suspects func(Prompt) []string) []string {
	var common []string

	most := 0

	for _, id := range parts {
		crashes, prompts, n := map[int]bool{}, map[string]bool{}, 0

		var inAll []string

		for _, c := range e.crashes {
			if !slices.Contains(c.prompt.shared, id) {
				continue
			}

			if n++; n == 1 {
				inAll = suspects(c.prompt)
			}

			inAll = slices.DeleteFunc(inAll, func(o string) bool { return !slices.Contains(c.prompt.shared, o) })
			crashes[c.number], prompts[c.prompt.own] = true, true
		}

		if len(crashes) >= minCrashes && len(prompts) >= minPrompts && n > most {
			common, most = inAll, n
		}
	}

	slices.Sort(common)

	return common
}
