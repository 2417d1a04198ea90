package soak

import (
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"maps"
	"slices"
	"time"
)

// Report is the result of a soak. Its fields are exported for the JSON encoder and the HTML template.
type Report struct {
	Seed    uint64         `json:"seed"`
	Length  string         `json:"length"`
	Daemons int            `json:"daemons"`
	Workers int            `json:"workers"`
	Broken  []BrokenRecord `json:"broken"`
	Faults  []FaultRecord  `json:"faults"`
	Counts  map[string]int `json:"counts"`
	Open    map[string]int `json:"open"` // items with a part that crashes workers that have no result, by last known reason
}

// BrokenRecord is a broken promise in a report.
type BrokenRecord struct {
	Promise Promise `json:"promise"`
	AtMS    int64   `json:"at_ms"` // since the start of the soak
	ID      string  `json:"id"`
	What    string  `json:"what"`
}

// FaultRecord is an injected fault in a report. Its times are measured, in milliseconds since the start of the soak.
type FaultRecord struct {
	Kind   FaultKind `json:"kind"`
	Index  int       `json:"index"` // of the daemon or worker, otherwise 0
	FromMS int64     `json:"from_ms"`
	ToMS   int64     `json:"to_ms"`
}

// newReport returns the report of a soak whose faults have all ended.
func newReport(o Options, l *Recorder, j *injector) Report {
	r := Report{
		Seed: o.Seed, Length: o.Length.String(), Daemons: o.Daemons, Workers: o.Workers, Broken: []BrokenRecord{}, Counts: l.Counts(),
	}

	for _, b := range l.BrokenPromises() {
		r.Broken = append(r.Broken, BrokenRecord{Promise: b.promise, AtMS: b.at.Milliseconds(), ID: b.id, What: b.description})
	}

	j.mu.Lock()
	defer j.mu.Unlock()

	for _, s := range j.injected {
		if s.to.IsZero() {
			s.to = time.Now() // the restart of a worker that is down
		}

		r.Faults = append(r.Faults, FaultRecord{
			Kind: s.fault.kind, Index: s.fault.index, FromMS: s.from.Sub(l.start).Milliseconds(), ToMS: s.to.Sub(l.start).Milliseconds(),
		})
	}

	return r
}

// AllPromisesKept reports whether all promises were kept.
func (r Report) AllPromisesKept() bool { return len(r.Broken) == 0 }

// WriteText writes a summary as one line, followed by a line for each broken promise.
func (r Report) WriteText(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "seed %d: %d faults, %d requests served, %d jobs accepted, %d deadly and %d sound parts quarantined, %d promises broken\n",
		r.Seed, len(r.Faults), r.Counts["answer 200"], r.Counts["job 202"], r.Counts["quarantines, part deadly"], r.Counts["quarantines, part sound"],
		len(r.Broken)); err != nil {
		return err
	}

	for _, b := range r.Broken {
		at := time.Duration(b.AtMS) * time.Millisecond
		if _, err := fmt.Fprintf(w, "  %8s  %-10s %s: %s\n", at, b.Promise, b.ID, b.What); err != nil {
			return err
		}
	}

	for _, reason := range slices.Sorted(maps.Keys(r.Open)) {
		if _, err := fmt.Fprintf(w, "  open items that crash workers: %d, last line: %s\n", r.Open[reason], reason); err != nil {
			return err
		}
	}

	return nil
}

// WriteJSON writes reports as an indented JSON array.
func WriteJSON(w io.Writer, l []Report) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")

	return e.Encode(l)
}

// WriteHTML writes reports as an HTML page, each with its broken promises and a timeline of its faults.
func WriteHTML(w io.Writer, l []Report) error { return reportPage.Execute(w, l) }

var reportPage = template.Must(template.New("report").Funcs(template.FuncMap{
	"left":  func(ms int64) string { return fmt.Sprintf("%.1fem", float64(ms)/msPerEm) },
	"width": func(f FaultRecord) string { return fmt.Sprintf("%.1fem", max(0.3, float64(f.ToMS-f.FromMS)/msPerEm)) },
}).Parse(`<!doctype html>
<meta charset="utf-8">
<title>agategap soak</title>
<style>
body { font-family: sans-serif; margin: 2em }
.line { position: relative; height: 1.3em; white-space: nowrap; font-size: 80% }
.bar { position: absolute; height: 1em; background: #9bd; }
.name { position: absolute; left: 0; width: 14em }
.broken { color: #b00 }
</style>
<h1>Soak</h1>
{{range .}}
<h2>Seed {{.Seed}}: {{len .Broken}} promises broken</h2>
<p>{{.Daemons}} daemons, {{.Workers}} workers, faults for {{.Length}}.</p>
{{range .Broken}}<p class="broken">{{.AtMS}} ms, {{.Promise}}, {{.ID}}: {{.What}}</p>{{end}}
{{range $reason, $n := .Open}}<p>{{$n}} open items that crash workers, last line: {{$reason}}</p>{{end}}
{{range .Faults}}<div class="line"><span class="name">{{.FromMS}} ms {{.Kind}} {{.Index}}</span><span class="bar" style="margin-left: 15em; left: {{left .FromMS}}; width: {{width .}}"></span></div>
{{end}}
{{end}}
`))

// msPerEm is the number of milliseconds in one em of a timeline in the HTML report.
const msPerEm = 1000
