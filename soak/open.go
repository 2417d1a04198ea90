package soak

import (
	"bufio"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

func (j *job) itemID(i int) string { return fmt.Sprint(j.id, ".", i) }

// open returns the IDs of the items without a result that has been read, in order.
func (j *job) open() []string {
	listed := map[string]bool{}
	for _, r := range j.results {
		listed[r.ID] = true
	}

	var l []string

	for i := range j.items {
		if id := j.itemID(i); !listed[id] {
			l = append(l, id)
		}
	}

	return l
}

// soundOpen returns the IDs of the items without deadlyPart and without a result that has been read.
func (j *job) soundOpen() []string {
	var l []string

	for _, id := range j.open() {
		if !j.deadly[id] {
			l = append(l, id)
		}
	}

	return l
}

// deadlyItems returns the IDs of all items with deadlyPart.
func (x *jobClients) deadlyItems() map[string]bool {
	x.mu.Lock()
	defer x.mu.Unlock()

	m := map[string]bool{}

	for _, j := range x.jobs {
		for id := range j.deadly {
			m[id] = true
		}
	}

	return m
}

// openDeadlyItems counts the items with deadlyPart of accepted jobs that have no result, by the last line about each in
// the logs of the daemons, which are in dir.
func (x *jobClients) openDeadlyItems(dir string) (map[string]int, error) {
	open := map[string]bool{}

	for _, j := range x.jobs {
		if j.acceptedAt.IsZero() || j.cancelRequested {
			continue
		}

		for _, id := range j.open() {
			open[id] = j.deadly[id]
		}
	}

	last, quarantines := map[string]itemLine{}, []itemLine{}

	files, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return nil, err
	}

	for _, f := range files {
		l, err := readItemLines(f, last)
		if err != nil {
			return nil, err
		}

		quarantines = append(quarantines, l...)
	}

	x.countQuarantines(quarantines)

	counts := map[string]int{}

	for id, deadly := range open {
		if deadly {
			counts[last[id].reason()]++
		}
	}

	return counts, nil
}

// countQuarantines counts the parts of prompts that daemons have quarantined by themselves. An own part of a prompt with
// deadlyPart counts as deadly, too.
func (x *jobClients) countQuarantines(lines []itemLine) {
	items := x.deadlyItems()

	for _, l := range lines {
		kind := "sound"

		for _, p := range l.Parts {
			own, _ := hex.DecodeString(p) // other parts are not encoded
			if p == deadlyPart || items[string(own)] || strings.HasPrefix(string(own), ownPrefix) {
				kind = "deadly"
			}
		}

		x.recorder.Count("quarantines, part " + kind)
	}
}

// itemLine has those fields of a line of a daemon's log that tell what was decided about an item.
type itemLine struct {
	Time    time.Time `json:"time"`
	Event   string    `json:"event"`
	Item    string    `json:"item"`
	Request string    `json:"request"`
	Code    string    `json:"code"`
	Error   string    `json:"error"`
	Parts   []string  `json:"parts"`
	Peer    string    `json:"peer"`
}

func (l itemLine) reason() string {
	switch {
	case l.Event == "":
		return "none"
	case l.Code != "":
		return l.Event + " " + l.Code
	case l.Error != "":
		return l.Event + ": " + l.Error
	default:
		return l.Event
	}
}

// readItemLines reads a daemon's log and keeps the newest line of each item or request. It returns the lines on the parts
// of prompts that this daemon has quarantined, without those that it has taken over from others, and skips lines that are
// not JSON.
func readItemLines(path string, last map[string]itemLine) ([]itemLine, error) {
	f, err := os.Open(path) //nolint:gosec // a log of this soak
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()

	var quarantines []itemLine

	s := bufio.NewScanner(f)
	s.Buffer(nil, maxLogLine)

	for s.Scan() {
		var l itemLine
		if json.Unmarshal(s.Bytes(), &l) != nil {
			continue
		}

		if l.Event == "prompt_quarantined" && l.Peer == "" {
			quarantines = append(quarantines, l)
		}

		id := l.Item
		if id == "" {
			id = l.Request
		}

		if id != "" && l.Time.After(last[id].Time) {
			last[id] = l
		}
	}

	return quarantines, s.Err()
}

// maxLogLine is the length of the longest line of a log that is read, in bytes.
const maxLogLine = 1 << 20
