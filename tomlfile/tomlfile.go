// Package tomlfile decodes TOML strictly and reports everything that is wrong with its place.
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"github.com/agategap/agategap/finding"
)

// Index finds the line of a key.
type Index struct {
	file     string
	lines    map[string]int
	faultyLines   map[int]bool
	wellFormed bool
}

// File returns the name of the input.
func (x Index) File() string { return x.file }

// IsWellFormed reports whether the document has no syntax error, so that its values can be checked further.
func (x Index) IsWellFormed() bool { return x.wellFormed }

// Has reports whether a dotted key such as services[0].name is written in the document. It tells a value of 0
// from an absent one.
func (x Index) Has(key string) bool {
	_, ok := x.lines[key]

	return ok
}

// Line returns the line of a dotted key. For a key that is absent it returns the line of the nearest table around
// it, and 1 without one.
func (x Index) Line(key string) int {
	for k := key; k != ""; k = parentKey(k) {
		if n, ok := x.lines[k]; ok {
			return n
		}
	}

	return 1
}

func parentKey(k string) string {
	return k[:max(strings.LastIndexByte(k, '.'), 0)]
}

// Addf records a finding at a key. A key whose value could not be decoded has a finding already and gets no other.
func (x Index) Addf(l *finding.List, key, format string, a ...any) {
	if n, ok := x.lines[key]; ok && x.faultyLines[n] {
		return
	}

	l.Addf(x.file, x.Line(key), key, format, a...)
}

// maxTypeErrors bounds the values of a wrong type that are reported for one document.
const maxTypeErrors = 100

// Decode decodes b into the value that v points to, and adds what is wrong to l: a syntax error, or every value of
// a wrong type and every unknown key.
func Decode(file string, b []byte, v any, l *finding.List) Index {
	x := Index{file: file, faultyLines: map[int]bool{}}

	m, row, err := indexLines(b)
	x.lines = m

	if err != nil {
		l.Addf(file, row, "", "syntax error: %s", strings.TrimPrefix(err.Error(), "toml: "))

		return x
	}

	b = bytes.Clone(b)

	// The decoder stops at the first value of a wrong type. That line is blanked and decoding starts over, so that
	// all of them are reported.
	for range maxTypeErrors {
		reflect.ValueOf(v).Elem().SetZero()

		err := toml.NewDecoder(bytes.NewReader(b)).DisallowUnknownFields().Decode(v)

		n := x.addFindings(l, err)
		if n == 0 || x.faultyLines[n] || !blankLine(b, n) {
			break
		}

		x.faultyLines[n] = true
	}

	x.wellFormed = true

	return x
}

// addFindings adds the findings of one decoding. It returns the line of a value of a wrong type, 0 without one.
func (x Index) addFindings(l *finding.List, err error) int {
	var m *toml.StrictMissingError

	var d *toml.DecodeError

	switch {
	case err == nil:
	case errors.As(err, &m):
		for i := range m.Errors {
			row, _ := m.Errors[i].Position()
			l.Addf(x.file, row, strings.Join(m.Errors[i].Key(), "."), "unknown key")
		}
	case errors.As(err, &d):
		row, _ := d.Position()
		l.Addf(x.file, row, strings.Join(d.Key(), "."), "%s", strings.TrimPrefix(d.Error(), "toml: "))

		return row
	default:
		l.Addf(x.file, 1, "", "%s", strings.TrimPrefix(err.Error(), "toml: "))
	}

	return 0
}

// blankLine replaces line n by spaces and reports whether it had any content.
func blankLine(b []byte, n int) bool {
	found := false

	for i := range b {
		if b[i] == '\n' {
			n--

			continue
		}

		if n == 1 {
			found = found || b[i] != ' '
			b[i] = ' '
		}
	}

	return found
}

// indexer collects the lines of the keys of a document.
type indexer struct {
	parser unstable.Parser
	lines  map[string]int
	arrayLengths map[string]int
}

// indexLines maps the dotted keys of a document to their lines. At a syntax error it returns its line.
func indexLines(b []byte) (map[string]int, int, error) {
	x := indexer{lines: map[string]int{}, arrayLengths: map[string]int{}}
	x.parser.Reset(b)

	table := ""

	for x.parser.NextExpression() {
		e := x.parser.Expression()
		k, line := x.keyParts(e)

		switch e.Kind {
		case unstable.Table:
			table = x.resolveKey(k)
			x.lines[table] = line
		case unstable.ArrayTable:
			a := x.resolveKey(k[:len(k)-1])
			a = joinKey(a, k[len(k)-1])
			table = fmt.Sprintf("%s[%d]", a, x.arrayLengths[a])
			x.arrayLengths[a]++
			x.lines[table] = line
		case unstable.KeyValue:
			x.indexKeyValue(table, e)
		}
	}

	err := x.parser.Error()

	var p *unstable.ParserError

	row := 1
	if errors.As(err, &p) {
		row = x.parser.Shape(x.parser.Range(p.Highlight)).Start.Line
	}

	return x.lines, row, err
}

// indexKeyValue records a key and the keys within its value.
func (x *indexer) indexKeyValue(table string, e *unstable.Node) {
	k, line := x.keyParts(e)
	key := table

	for _, p := range k {
		key = joinKey(key, p)
		x.lines[key] = line
	}

	x.indexValue(key, line, e.Value())
}

func (x *indexer) indexValue(key string, line int, v *unstable.Node) {
	switch v.Kind {
	case unstable.InlineTable:
		for i := v.Children(); i.Next(); {
			x.indexKeyValue(key, i.Node())
		}
	case unstable.Array:
		n := 0

		for i := v.Children(); i.Next(); n++ {
			k := fmt.Sprintf("%s[%d]", key, n)
			x.lines[k] = line
			x.indexValue(k, line, i.Node())
		}
	}
}

// resolveKey returns the dotted key of a table; a part that names an array of tables means its last element.
func (x *indexer) resolveKey(parts []string) string {
	k := ""

	for _, p := range parts {
		k = joinKey(k, p)
		if n := x.arrayLengths[k]; n > 0 {
			k = fmt.Sprintf("%s[%d]", k, n-1)
		}
	}

	return k
}

func joinKey(table, key string) string {
	if table == "" {
		return key
	}

	return table + "." + key
}

func (x *indexer) keyParts(e *unstable.Node) ([]string, int) {
	var s []string

	line := 0

	for i := e.Key(); i.Next(); {
		s = append(s, string(i.Node().Data))

		if line == 0 {
			line = x.parser.Shape(i.Node().Raw).Start.Line
		}
	}

	return s, line
}

// Duration is a length of time in a TOML document, such as "250ms" or "24h". A text that is none is kept, so
// that all findings of a document can be reported together.
type Duration struct {
	value    time.Duration
	text string
	err  error
}

// NewDuration returns the duration d.
func NewDuration(d time.Duration) Duration { return Duration{value: d, text: d.String()} }

// UnmarshalText parses b.
func (d *Duration) UnmarshalText(b []byte) error {
	d.text = string(b)
	d.value, d.err = time.ParseDuration(d.text)

	return nil
}

// MarshalText returns the text.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.value.String()), nil }

// Value returns the length of time; 0 for a text that is none.
func (d Duration) Value() time.Duration { return d.value }

// Check adds a finding when the text is no duration or lies outside the bounds.
func (d Duration) Check(x Index, l *finding.List, key string, least, most time.Duration) {
	switch {
	case d.err != nil:
		x.Addf(l, key, "%q is not a length of time; use a number with a unit, such as 250ms, 5s or 24h", d.text)
	case d.value < least || d.value > most:
		x.Addf(l, key, "%s is outside %s to %s", d.value, least, most)
	}
}
