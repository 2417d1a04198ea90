package cmd

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

var cmdExplain = &Cmd{
	Name:    "explain",
	Args:    "-id ID FILE...",
	Desc:    "prints the path of a request, job or item through the logs of daemons",
	Example: "agategap explain -id 9c41d07be2a35f68 entry-1.log entry-2.log",
	Action: func(_ context.Context, e Env, args []string) error {
		f := e.newFlagSet()
		id := f.String("id", "", "identifier of the request, the job or the item")

		if err := e.parseFlags(f, args, 1, maxLogFiles); err != nil {
			return err
		}

		if *id == "" {
			return e.usageErrorf(f, "-id is required")
		}

		return explain(e, *id, f.Args())
	},
}

const (
	// maxLogFiles is the number of daemons of the largest deployment, each with one file.
	maxLogFiles = 1024
	// maxLineBytes bounds one line of a log file.
	maxLineBytes = 1 << 20
	// contextWindow is the time before the first and after the last record of a request within which changes of a
	// daemon's state are shown.
	contextWindow = time.Second
	// restartWindow is the time added to contextWindow for the start of a daemon after a request, as a VM that lost
	// power may take several seconds to restart.
	restartWindow = 15 * time.Second
)

// logLine is one record of a daemon's log.
type logLine struct {
	at     time.Time
	vm     string
	event  string
	fields map[string]any
}

// readLog returns the log records of a file and the number of lines that are not log records.
func readLog(path string) ([]logLine, int, error) {
	f, err := os.Open(path) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, 0, trace.ConvertSystemError(err)
	}
	defer func() { _ = f.Close() }()

	var l []logLine

	skipped := 0
	s := bufio.NewScanner(f)
	s.Buffer(nil, maxLineBytes)

	for s.Scan() {
		// A log collector may add a prefix to each line.
		b := s.Bytes()
		if i := strings.IndexByte(s.Text(), '{'); i > 0 {
			b = b[i:]
		}

		m := map[string]any{}
		if json.Unmarshal(b, &m) != nil {
			skipped++

			continue
		}

		t, err := time.Parse(time.RFC3339, fieldString(m["time"]))
		if err != nil {
			skipped++

			continue
		}

		l = append(l, logLine{at: t, vm: fieldString(m["vm"]), event: fieldString(m["event"]), fields: m})
	}

	return l, skipped, s.Err()
}

// fieldString returns a string field, or an empty string if v is not a string.
func fieldString(v any) string {
	s, _ := v.(string)

	return s
}

// concerns reports whether the record is about the request, job or item with the identifier.
func (l logLine) concerns(id string) bool {
	for _, k := range []string{"request", "job", "item"} {
		if fieldString(l.fields[k]) == id {
			return true
		}
	}

	return l.inFlightTarget(id) != ""
}

// inFlightTarget returns the target that was executing the request when the record was written, if the record lists
// requests in flight.
func (l logLine) inFlightTarget(id string) string {
	m, _ := l.fields["requests"].(map[string]any)

	return fieldString(m[id])
}

// stateEvents are the events that record a change of a daemon's state, such as its view of peers, targets and the log.
// They may explain how it handled a request.
var stateEvents = []string{
	"peer_lost", "peer_live", "target", "target_gone", "config", "log_reads", "log_gap", "append_failed", "started", "stopped", "lines_left_out",
}

// explain prints the records about an identifier in order of time, marked with an asterisk, those about the job of an item
// and about the quarantine of its parts, and the state changes of the same daemons shortly before and after them. Changes
// of targets that were not involved are left out.
func explain(e Env, id string, files []string) error {
	var all, path []logLine

	for _, f := range files {
		l, skipped, err := readLog(f)
		if err != nil {
			return err
		}

		if skipped > 0 {
			_, _ = fmt.Fprintf(e.err, "agategap: %s: skipped %d lines that are not log records\n", f, skipped)
		}

		all = append(all, l...)
	}

	vms := map[string]bool{}

	for _, l := range all {
		if l.concerns(id) {
			path = append(path, l)
			vms[l.vm] = true
		}
	}

	if len(path) == 0 {
		e.printf("no line names %s; of the successful requests only a sample is logged\n", id)

		return nil
	}

	path = append(path, relatedLines(all, path, id)...)

	sortByTime := func(l []logLine) { sort.SliceStable(l, func(i, j int) bool { return l[i].at.Before(l[j].at) }) }
	sortByTime(path)

	from, to := path[0].at.Add(-contextWindow), path[len(path)-1].at.Add(contextWindow)
	targets := map[string]bool{}

	for _, l := range path {
		targets[fieldString(l.fields["target"])] = true
		targets[l.inFlightTarget(id)] = true
	}

	for _, l := range all {
		relevant := vms[l.vm] && slices.Contains(stateEvents, l.event) && !l.concerns(id)
		if t := fieldString(l.fields["target"]); t != "" && !targets[t] {
			relevant = false
		}

		end := to
		if l.event == "started" {
			end = to.Add(restartWindow)
		}

		if relevant && l.at.After(from) && l.at.Before(end) {
			path = append(path, l)
		}
	}

	sortByTime(path)

	for _, l := range path {
		mark := " "
		if l.concerns(id) {
			mark = "*"
		}

		e.printf("%s %s %-24s %-16s %s\n", mark, l.at.Format("15:04:05.000"), l.vm, l.event, l.details(id))
	}

	return nil
}

// quarantineEvents are the events about parts of prompts that targets crash under.
var quarantineEvents = []string{"prompt_quarantined", "quarantine_narrowed"}

// relatedLines returns the records of all daemons about the jobs of the item with an identifier, but not about other items
// of these, and those about a quarantine of parts that a record of the path names.
func relatedLines(all, path []logLine, id string) []logLine {
	jobs, parts := map[string]bool{}, map[string]bool{}

	for _, l := range path {
		if fieldString(l.fields["item"]) == id {
			jobs[fieldString(l.fields["job"])] = true
		}

		for _, p := range l.parts() {
			parts[p] = true
		}
	}

	var related []logLine

	for _, l := range all {
		ofJob := jobs[fieldString(l.fields["job"])] && fieldString(l.fields["item"]) == "" && fieldString(l.fields["job"]) != ""
		ofParts := slices.Contains(quarantineEvents, l.event) && slices.ContainsFunc(l.parts(), func(p string) bool { return parts[p] })

		if (ofJob || ofParts) && !l.concerns(id) {
			related = append(related, l)
		}
	}

	return related
}

// parts returns the parts of prompts that the record names.
func (l logLine) parts() []string {
	a, _ := l.fields["parts"].([]any)

	var s []string
	for _, p := range a {
		s = append(s, fieldString(p))
	}

	return s
}

// details returns the target of the request if it was in flight, otherwise all fields that have no column of their own.
func (l logLine) details(id string) string {
	var s []string

	if t := l.inFlightTarget(id); t != "" {
		return "target=" + t
	}

	for k, v := range l.fields {
		switch k {
		case "time", "vm", "event", "level", "message":
		default:
			s = append(s, fmt.Sprintf("%s=%v", k, v))
		}
	}

	slices.Sort(s)

	return strings.Join(s, " ")
}
