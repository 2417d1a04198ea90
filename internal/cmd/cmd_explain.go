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
	// maxLogFiles is the number of daemons of the largest deployment.
	maxLogFiles = 1024
	// maxLineBytes bounds one line of a log.
	maxLineBytes = 1 << 20
	// contextWindow is the time before and after a request in which changes of a daemon's state are shown.
	contextWindow = time.Second
	// restartWindow is the time after a request within which the start of its daemon is shown. A VM that lost power may take
	// several seconds.
	restartWindow = 15 * time.Second
)

// logLine is a line of a daemon's log.
type logLine struct {
	at     time.Time
	vm     string
	event  string
	fields map[string]any
}

// readLog returns the lines of a file that are JSON. Other lines are counted.
func readLog(path string) ([]logLine, int, error) {
	f, err := os.Open(path) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, 0, trace.ConvertSystemError(err)
	}
	defer func() { _ = f.Close() }()

	var l []logLine

	other := 0
	s := bufio.NewScanner(f)
	s.Buffer(nil, maxLineBytes)

	for s.Scan() {
		// A collector may put a prefix before each line.
		b := s.Bytes()
		if i := strings.IndexByte(s.Text(), '{'); i > 0 {
			b = b[i:]
		}

		m := map[string]any{}
		if json.Unmarshal(b, &m) != nil {
			other++

			continue
		}

		t, err := time.Parse(time.RFC3339, fieldString(m["time"]))
		if err != nil {
			other++

			continue
		}

		l = append(l, logLine{at: t, vm: fieldString(m["vm"]), event: fieldString(m["event"]), fields: m})
	}

	return l, other, s.Err()
}

func fieldString(v any) string {
	s, _ := v.(string)

	return s
}

// concerns reports whether a line names an identifier.
func (l logLine) concerns(id string) bool {
	for _, k := range []string{"request", "job", "item"} {
		if fieldString(l.fields[k]) == id {
			return true
		}
	}

	return l.inFlightTarget(id) != ""
}

// inFlightTarget returns the target of a request that was under way when the line was written.
func (l logLine) inFlightTarget(id string) string {
	m, _ := l.fields["requests"].(map[string]any)

	return fieldString(m[id])
}

// stateEvents are the events that change what a daemon believes, which may explain what it did to a request.
var stateEvents = []string{
	"peer_lost", "peer_live", "target", "target_gone", "config", "log_reads", "log_gap", "append_failed", "started", "stopped", "lines_left_out",
}

// explain prints the lines about an identifier in order of time, and what the daemons concerned learnt around them.
func explain(e Env, id string, files []string) error {
	var all, path []logLine

	for _, f := range files {
		l, other, err := readLog(f)
		if err != nil {
			return err
		}

		if other > 0 {
			_, _ = fmt.Fprintf(e.err, "agategap: %s: %d lines are not of the log and were passed over\n", f, other)
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
		e.printf("no line names %s; requests that went well are written only as a sample\n", id)

		return nil
	}

	byTime := func(l []logLine) { sort.SliceStable(l, func(i, j int) bool { return l[i].at.Before(l[j].at) }) }
	byTime(path)

	from, to := path[0].at.Add(-contextWindow), path[len(path)-1].at.Add(contextWindow)
	targets := map[string]bool{}

	for _, l := range path {
		targets[fieldString(l.fields["target"])] = true
		targets[l.inFlightTarget(id)] = true
	}

	for _, l := range all {
		concerned := vms[l.vm] && slices.Contains(stateEvents, l.event) && !l.concerns(id)
		if t := fieldString(l.fields["target"]); t != "" && !targets[t] {
			concerned = false
		}

		end := to
		if l.event == "started" {
			end = to.Add(restartWindow)
		}

		if concerned && l.at.After(from) && l.at.Before(end) {
			path = append(path, l)
		}
	}

	byTime(path)

	for _, l := range path {
		mark := " "
		if l.concerns(id) {
			mark = "*"
		}

		e.printf("%s %s %-24s %-16s %s\n", mark, l.at.Format("15:04:05.000"), l.vm, l.event, l.details(id))
	}

	return nil
}

// details returns the fields of a line that are not printed elsewhere.
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
