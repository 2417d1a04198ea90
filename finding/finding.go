// Package finding collects the problems of an input file with their lines and keys, so that all of them are reported
// together. The packages that check settings, configurations, questionnaires and batch bodies use it.
package finding

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Finding is one problem of an input.
type Finding struct {
	file    string
	line    int
	key     string
	message string
}

// File returns the name of the input file.
func (f Finding) File() string { return f.file }

// Line returns the line number, which starts at 1; 0 if the line is unknown.
func (f Finding) Line() int { return f.line }

// Key returns the dotted key of the value, such as services[0].name; empty for a syntax error.
func (f Finding) Key() string { return f.key }

// Message returns what is wrong, and usually what is expected instead.
func (f Finding) Message() string { return f.message }

// String formats the finding as file:line: key: message.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.file, f.line, f.key, f.message)
}

// List collects findings. The zero value is ready to use. It is an error; see Err. It is not safe for concurrent use.
type List struct {
	findings []Finding
}

// Addf adds a finding with a formatted message.
func (l *List) Addf(file string, line int, key, format string, a ...any) {
	l.findings = append(l.findings, Finding{file: file, line: line, key: key, message: fmt.Sprintf(format, a...)})
}

// Append adds all findings of another list.
func (l *List) Append(o *List) {
	l.findings = append(l.findings, o.findings...)
}

// Findings returns the findings in order of file and line.
func (l *List) Findings() []Finding {
	s := slices.Clone(l.findings)
	slices.SortStableFunc(s, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.file, b.file), cmp.Compare(a.line, b.line))
	})

	return s
}

// Err returns the list as an error, or nil if it is empty.
func (l *List) Err() error {
	if len(l.findings) == 0 {
		return nil
	}

	return l
}

// Error returns all findings in the order of Findings, one per line.
func (l *List) Error() string {
	var s []string
	for _, f := range l.Findings() {
		s = append(s, f.String())
	}

	return strings.Join(s, "\n")
}
