package cmd

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/agategap/agategap/outcome"
)

var cmdStatus = &Cmd{
	Name:    "status",
	Args:    "-daemons ADDRESSES | -platform ADDRESS",
	Desc:    "prints one screen about what needs an operator, each line with the page to read",
	Example: "agategap status -daemons 127.0.0.1:7101,127.0.0.1:7102",
	Action: func(ctx context.Context, e Env, args []string) error {
		f := e.newFlagSet()
		d := f.String("daemons", "", "operator addresses, separated by commas; those of the daemons' records in the log when empty")
		p := f.String("platform", "", "address of the platform, whose log has the records of the daemons, IP:port")
		n := f.Duration("interval", defaultSamplePeriod, "time over which requests are counted; 0 counts from the start of each daemon")

		if err := e.parseFlags(f, args, 0, 0); err != nil {
			return err
		}

		if *d == "" && *p == "" {
			return e.usageErrorf(f, "-daemons or -platform is required")
		}

		a, err := daemonAddresses(ctx, *d, *p)
		if err != nil {
			return err
		}

		var before []daemonState

		if *n > 0 {
			before = fetchStates(ctx, a, true)

			if !sleep(ctx, *n) {
				return ctx.Err()
			}
		}

		return newStatusReport(before, fetchStates(ctx, a, true), time.Now()).print(e)
	},
}

// defaultSamplePeriod is the default time between the two samples of the request counters. It is long enough to count
// some requests of a busy service.
const defaultSamplePeriod = 2 * time.Second

// operationsPage is the documentation that each line of the report refers to.
const operationsPage = "docs/OPERATIONS.md"

// statusReport is the output of status. version is the highest configuration version of any daemon.
type statusReport struct {
	daemons int
	reached int
	version int64
	lines   []string
}

func newStatusReport(before, after []daemonState, now time.Time) *statusReport {
	s := &statusReport{daemons: len(after)}

	for _, d := range after {
		s.version = max(s.version, d.configVersion())

		if d.err == nil {
			s.reached++
		}
	}

	s.addDaemons(after)
	s.addServices(before, after)

	jobs, targets := map[string]bool{}, map[string]bool{}

	for _, d := range after {
		s.addJobs(d, now, jobs)
		s.addTargets(d, targets)
		s.addLog(d)
	}

	return s
}

// addf adds a line that refers to a section of operationsPage. A test extracts the sections from the calls, so each has
// to be a string literal and the receiver has to be s.
func (s *statusReport) addf(section, format string, a ...any) {
	s.lines = append(s.lines, fmt.Sprintf("%s  (%s#%s)", fmt.Sprintf(format, a...), operationsPage, section))
}

func (s *statusReport) addDaemons(l []daemonState) {
	for _, d := range l {
		switch {
		case d.err != nil:
			s.addf("daemon-not-reachable", "daemon %s is not reachable: %s", d.displayName(), d.err)

			continue
		case !d.ready:
			s.addf("daemon-not-ready", "daemon %s is not ready: %s", d.displayName(), d.notReadyReason)
		}

		if d.configVersion() < s.version {
			s.addf("configuration-behind", "daemon %s has configuration %d, others have %d", d.displayName(), d.configVersion(), s.version)
		}
	}
}

// addServices adds the services with requests that missed their deadline between the two samples. If before is empty,
// all requests since the start of each daemon count.
func (s *statusReport) addServices(before, after []daemonState) {
	late, all := map[string]float64{}, map[string]float64{}

	for _, d := range after {
		addRequestCounts(d, 1, late, all)
	}

	for _, d := range before {
		addRequestCounts(d, -1, late, all)
	}

	for _, n := range slices.Sorted(maps.Keys(late)) {
		if late[n] > 0 {
			s.addf("deadlines-missed", "service %s missed the deadline of %.0f of %.0f requests", n, late[n], all[n])
		}
	}
}

// addRequestCounts adds a daemon's request counts, multiplied by sign, to the counts by service of the requests that
// missed their deadline and of all requests.
func addRequestCounts(d daemonState, sign float64, late, all map[string]float64) {
	f := d.metrics["agategap_requests"]

	for _, m := range f.GetMetric() {
		service, code := "", ""

		for _, l := range m.GetLabel() {
			switch l.GetName() {
			case "service":
				service = l.GetValue()
			case "code":
				code = l.GetValue()
			}
		}

		n := sign * m.GetCounter().GetValue()
		all[service] += n

		if code == string(outcome.DeadlineExceeded) {
			late[service] += n
		}
	}
}

// addJobs adds the running jobs whose deadline has passed or that the daemon reports as at risk. A job in seen is
// skipped.
func (s *statusReport) addJobs(d daemonState, now time.Time, seen map[string]bool) {
	for _, j := range dumpRecords(d.dump["jobs"], "jobs") {
		id := dumpString(j["id"])
		if seen[id] || dumpString(j["state"]) != "running" {
			continue
		}

		t, err := time.Parse(time.RFC3339Nano, dumpString(j["deadline"]))
		past := err == nil && now.After(t)
		risk, _ := j["at_risk"].(bool)

		if !past && !risk {
			continue
		}

		seen[id] = true
		status := "is at risk"

		if past {
			status = "is late"
		}

		s.addf("job-at-risk", "job %s of service %s %s: %v of %v items pending, deadline %s", id, dumpString(j["service"]), status, j["pending"], j["items"], dumpString(j["deadline"]))
	}
}

func (s *statusReport) addTargets(d daemonState, seen map[string]bool) {
	for _, t := range dumpRecords(d.dump["targets"], "targets") {
		n := dumpString(t["name"])
		if ejected, _ := t["set_aside"].(bool); !ejected || seen[n] {
			continue
		}

		seen[n] = true
		s.addf("target-set-aside", "target %s is set aside as slow, says %s", n, d.displayName())
	}
}

// slowAppendThreshold is the duration of a daemon's last append above which the log is reported as slow. The client of
// the platform's store cancels an append after 1.2 s.
const slowAppendThreshold = time.Second

func (s *statusReport) addLog(d daemonState) {
	l := d.section("log")
	if d.err != nil || l == nil {
		return
	}

	ms, _ := l["last_ms"].(float64)

	switch up, known := l["available"].(bool); {
	case known && !up:
		s.addf("log-not-available", "the log is not available to daemon %s: %s", d.displayName(), dumpString(l["error"]))
	case time.Duration(ms)*time.Millisecond > slowAppendThreshold:
		s.addf("log-slow", "the log is slow for daemon %s: the last append took %.0f ms", d.displayName(), ms)
	}
}

func (s *statusReport) print(e Env) error {
	e.printf("%d of %d daemons reached, configuration version %d\n", s.reached, s.daemons, s.version)

	for _, l := range s.lines {
		e.printf("! %s\n", strings.TrimSpace(l))
	}

	if len(s.lines) == 0 {
		e.printf("nothing needs attention\n")
	}

	if s.reached == 0 {
		return outcome.New(outcome.NotReady, outcome.Failed, "no daemon is reachable")
	}

	return nil
}

// dumpRecords returns the objects of a list in the dump. v is the list, or an object that has the list under name.
func dumpRecords(v any, name string) []map[string]any {
	if m, ok := v.(map[string]any); ok {
		v = m[name]
	}

	l, _ := v.([]any)

	var r []map[string]any

	for _, x := range l {
		if m, ok := x.(map[string]any); ok {
			r = append(r, m)
		}
	}

	return r
}

// dumpString returns a string of the dump, or an empty string if v is not a string.
func dumpString(v any) string {
	s, _ := v.(string)

	return s
}
