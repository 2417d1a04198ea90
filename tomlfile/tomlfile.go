// Package tomlfile decodes TOML strictly and collects all errors with their lines. Packages settings, config and
// answers decode their documents with it.
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

// Index has the lines of the keys of a decoded document. It is immutable.
type Index struct {
	file        string
	lines       map[string]int // by dotted key
	faultyLines map[int]bool   // lines with a value of a wrong type
	wellFormed  bool
}

// File returns the name of the document as passed to Decode.
func (x Index) File() string { return x.file }

// IsWellFormed reports whether the document has no syntax error. Only then can its values be checked.
func (x Index) IsWellFormed() bool { return x.wellFormed }

// Has reports whether the document contains a dotted key such as services[0].name. It tells an explicit value of 0 from
// an absent one.
func (x Index) Has(key string) bool {
	_, ok := x.lines[key]

	return ok
}

// Line returns the line of a dotted key. For an absent key it returns the line of the innermost enclosing table that
// the document contains, or 1 if there is none.
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

// Addf adds a finding about a key to l. It does nothing if the line of the key already has a finding about a value of a
// wrong type.
func (x Index) Addf(l *finding.List, key, format string, a ...any) {
	if n, ok := x.lines[key]; ok && x.faultyLines[n] {
		return
	}

	l.Addf(x.file, x.Line(key), key, format, a...)
}

// maxTypeErrors bounds the number of values of a wrong type that are reported for one document.
const maxTypeErrors = 100

// Decode decodes b into the value that v points to. It adds findings to l: a syntax error, or all values of a wrong
// type and all unknown keys. After a syntax error, v is unchanged. A line with a value of a wrong type is not decoded.
// file names the document in the findings.
func Decode(file string, b []byte, v any, l *finding.List) Index {
	x := Index{file: file, faultyLines: map[int]bool{}}

	m, row, err := indexLines(b)
	x.lines = m

	if err != nil {
		l.Addf(file, row, "", "syntax error: %s", strings.TrimPrefix(err.Error(), "toml: "))

		return x
	}

	b = bytes.Clone(b)

	// The decoder stops at the first value of a wrong type. To find all of them, the line is blanked and decoding
	// starts over.
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

// addFindings adds the findings from the error of one decoding pass. It returns the line of a value of a wrong type, or
// 0 if there is none.
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

// blankLine overwrites line n with spaces and reports whether it had any other characters.
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
	parser       unstable.Parser
	lines        map[string]int
	arrayLengths map[string]int
}

// indexLines returns the lines of the dotted keys of a document. For a syntax error it also returns the line of the
// error.
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

// indexKeyValue adds a key and the keys within its value.
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

// resolveKey returns the dotted key of a table. As in TOML, the name of an array of tables stands for its last element.
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

// Duration is a duration in a TOML document, such as "250ms" or "24h". An invalid text does not fail decoding but is
// kept for Check, so that all findings of a document are reported together.
type Duration struct {
	value time.Duration
	text  string
	err   error
}

// NewDuration returns d as a Duration.
func NewDuration(d time.Duration) Duration { return Duration{value: d, text: d.String()} }

// UnmarshalText parses b. It returns no error; Check reports invalid texts.
func (d *Duration) UnmarshalText(b []byte) error {
	d.text = string(b)
	d.value, d.err = time.ParseDuration(d.text)

	return nil
}

// MarshalText returns the duration in the form of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.value.String()), nil }

// Value returns the duration; 0 for an invalid text.
func (d Duration) Value() time.Duration { return d.value }

// Check adds a finding if the text is invalid, or if the duration is below minimum or above maximum.
func (d Duration) Check(x Index, l *finding.List, key string, minimum, maximum time.Duration) {
	switch {
	case d.err != nil:
		x.Addf(l, key, "%q is not a duration; use a number with a unit, such as 250ms, 5s or 24h", d.text)
	case d.value < minimum || d.value > maximum:
		x.Addf(l, key, "%s is outside %s to %s", d.value, minimum, maximum)
	}
}
