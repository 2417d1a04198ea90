package bench

import (
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// WriteText writes results as text for a terminal: a line for each result, followed by a line for each figure.
func WriteText(w io.Writer, l []Result) {
	for _, r := range l {
		_, _ = fmt.Fprintf(w, "%-12s %-13s %-12s %-12s seed %d  ratio %.3f  bound %s %.2f  %s\n",
			r.scenario, r.measure, r.options.size.name, r.options.policy, r.options.seed, r.ratio, r.comparison(), r.bound, r.verdict())

		for _, f := range r.figures {
			_, _ = fmt.Fprintf(w, "    %-32s %.2f\n", f.name, f.value)
		}
	}
}

func (r Result) comparison() string {
	if r.atMost {
		return "<="
	}

	return ">="
}

func (r Result) verdict() string {
	if r.Met() {
		return "met"
	}

	return "not met"
}

// resultRecord is the JSON form of a Result. Target is its bound, and Sign compares Ratio with it. Figures and Ratio
// have -1 for values that JSON cannot represent.
type resultRecord struct {
	Scenario string             `json:"scenario"`
	Measure  string             `json:"measure"`
	Size     string             `json:"size"`
	Policy   string             `json:"policy"`
	Seed     uint64             `json:"seed"`
	Figures  map[string]float64 `json:"figures"`
	Ratio    float64            `json:"ratio"`
	Target   float64            `json:"target"`
	Sign     string             `json:"sign"`
	Met      bool               `json:"met"`
}

// WriteJSON writes results as a JSON list.
func WriteJSON(w io.Writer, l []Result) error {
	v := make([]resultRecord, len(l))

	for i, r := range l {
		f := map[string]float64{}
		for _, g := range r.figures {
			f[g.name] = replaceNonFinite(g.value)
		}

		v[i] = resultRecord{
			Scenario: r.scenario, Measure: r.measure, Size: r.options.size.name, Policy: r.options.policy, Seed: r.options.seed,
			Figures: f, Ratio: replaceNonFinite(r.ratio), Target: r.bound, Sign: r.comparison(), Met: r.Met(),
		}
	}

	e := json.NewEncoder(w)
	e.SetIndent("", "  ")

	return e.Encode(v)
}

// replaceNonFinite returns -1 for values that JSON cannot represent, such as the ratio to an empty baseline.
func replaceNonFinite(v float64) float64 {
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return -1
	}

	return v
}

var reportTemplate = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>agategap bench</title>
<style>body{font:14px sans-serif;margin:2em;max-width:60em}table{border-collapse:collapse}td,th{padding:.2em .8em;text-align:right;border-bottom:1px solid #ddd}td:first-child,th:first-child{text-align:left}.bad{color:#b00}</style>
<h1>agategap bench</h1>
<table><tr><th>scenario</th><th>measure</th><th>size</th><th>policy</th><th>seed</th><th>ratio</th><th>bound</th><th></th></tr>
{{range .}}<tr><td>{{.Scenario}}</td><td>{{.Measure}}</td><td>{{.Size}}</td><td>{{.Policy}}</td><td>{{.Seed}}</td><td>{{printf "%.3f" .Ratio}}</td><td>{{.Bound}}</td><td{{if not .Met}} class="bad"{{end}}>{{if .Met}}met{{else}}not met{{end}}</td></tr>
{{end}}</table>
{{range .}}{{if .Lines}}<h2>{{.Scenario}}, {{.Size}}, {{.Policy}}</h2>
<svg width="640" height="300" viewBox="0 0 640 300">
<line x1="50" y1="260" x2="620" y2="260" stroke="#888"/><line x1="50" y1="20" x2="50" y2="260" stroke="#888"/>
{{range .Marks}}<text x="{{.X}}" y="276" font-size="11" text-anchor="middle">{{.Text}}</text><line x1="{{.X}}" y1="20" x2="{{.X}}" y2="260" stroke="#eee"/>
{{end}}<text x="330" y="295" font-size="12" text-anchor="middle">latency, ms (log scale)</text><text x="8" y="30" font-size="12">100%</text><text x="20" y="260" font-size="12">0%</text>
{{range .Lines}}<polyline fill="none" stroke="{{.Colour}}" stroke-width="2" points="{{.Points}}"/><text x="60" y="{{.Y}}" font-size="12" fill="{{.Colour}}">{{.Name}}</text>
{{end}}</svg>{{end}}{{end}}</html>
`))

// resultView is a Result as the HTML template needs it. Bound includes the comparison. Lines is empty if there are no
// latency distributions.
type resultView struct {
	Scenario, Measure, Size, Policy string
	Seed                            uint64
	Ratio                           float64
	Bound                           string
	Met                             bool
	Lines                           []plotLine
	Marks                           []axisMark
}

// plotLine is the curve of one latency distribution. Y is the vertical position of its name in the plot.
type plotLine struct {
	Name, Colour, Points string
	Y                    int
}

// axisMark is a labelled vertical grid line at position X. Text is the latency in milliseconds.
type axisMark struct {
	X    int
	Text string
}

// WriteReport writes an HTML page with a table of the results and a plot of each result's latency distributions.
func WriteReport(w io.Writer, l []Result) error {
	var v []resultView
	for _, r := range l {
		v = append(v, resultView{
			Scenario: r.scenario, Measure: r.measure, Size: r.options.size.name, Policy: r.options.policy, Seed: r.options.seed,
			Ratio: r.ratio, Bound: fmt.Sprintf("%s %.2f", r.comparison(), r.bound), Met: r.Met(), Lines: plotLines(r.latencies), Marks: axisMarks(),
		})
	}

	return reportTemplate.Execute(w, v)
}

// Area of the plot in pixels, and the range of its logarithmic axis in decades from 1 ms.
const (
	plotLeft, plotWidth   = 50, 570
	plotFloor, plotHeight = 260, 240
	plotDecades           = 5
	lineHeight            = 16
)

func axisMarks() []axisMark {
	var m []axisMark
	for d := range plotDecades + 1 {
		m = append(m, axisMark{X: plotLeft + d*plotWidth/plotDecades, Text: fmt.Sprintf("%g", math.Pow10(d))})
	}

	return m
}

func plotLines(h map[string]*hdrhistogram.Histogram) []plotLine {
	colours := []string{"#1f6fb4", "#d1495b", "#3a8f4d", "#8a5fb5"}

	var l []plotLine

	for i, n := range slices.Sorted(maps.Keys(h)) {
		l = append(l, plotLine{Name: n, Colour: colours[i%len(colours)], Points: polylinePoints(h[n]), Y: plotHeight/8 + i*lineHeight})
	}

	return l
}

// polylinePoints returns the cumulative distribution of latencies in microseconds as points of an SVG polyline.
func polylinePoints(h *hdrhistogram.Histogram) string {
	const usPerMs = 1000

	var b strings.Builder

	for _, q := range h.CumulativeDistribution() {
		d := min(max(math.Log10(max(float64(q.ValueAt)/usPerMs, 1)), 0), plotDecades)
		_, _ = fmt.Fprintf(&b, "%.1f,%.1f ", plotLeft+d*plotWidth/plotDecades, plotFloor-q.Quantile/100*plotHeight)
	}

	return b.String()
}
