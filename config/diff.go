package config

import (
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Change is a setting that differs between two documents.
type Change struct {
	key    string
	before string
	after  string
}

// Key returns the dotted key of the setting, such as services[notices].deadline. Accounts, services and targets are
// identified by their names, not by their positions.
func (c Change) Key() string { return c.key }

// Before returns the value in the first document as text; empty if the setting was added.
func (c Change) Before() string { return c.before }

// After returns the value in the second document as text; empty if the setting was removed.
func (c Change) After() string { return c.after }

// String formats the change as one line, which begins with + for an added, - for a removed and ~ for a changed setting.
func (c Change) String() string {
	switch {
	case c.before == "":
		return fmt.Sprintf("+ %s = %s", c.key, c.after)
	case c.after == "":
		return fmt.Sprintf("- %s = %s", c.key, c.before)
	}

	return fmt.Sprintf("~ %s = %s -> %s", c.key, c.before, c.after)
}

// Diff returns the settings that differ, in order of key. It compares values, not the way in which they are written or
// the order of accounts, services and targets.
func Diff(before, after Document) []Change {
	a, b := flatten(before), flatten(after)

	var l []Change

	for k, v := range a {
		if b[k] != v {
			l = append(l, Change{key: k, before: v, after: b[k]})
		}
	}

	for k, v := range b {
		if _, ok := a[k]; !ok {
			l = append(l, Change{key: k, after: v})
		}
	}

	slices.SortFunc(l, func(x, y Change) int { return strings.Compare(x.key, y.key) })

	return l
}

// flatten returns the values of a document as text by dotted key, in which a list element is identified by its name.
func flatten(d Document) map[string]string {
	m := map[string]string{}

	b, err := toml.Marshal(d)
	if err != nil {
		return m
	}

	var v map[string]any
	if toml.Unmarshal(b, &v) == nil {
		flattenInto(m, "", v)
	}

	return m
}

func flattenInto(m map[string]string, prefix string, v any) {
	switch t := v.(type) {
	case map[string]any:
		for k, w := range t {
			flattenInto(m, strings.TrimPrefix(prefix+"."+k, "."), w)
		}
	case []any:
		flattenList(m, prefix, t)
	case string:
		m[prefix] = fmt.Sprintf("%q", t)
	default:
		m[prefix] = fmt.Sprint(t)
	}
}

// flattenList adds the tables of a list under their names. A list of other values is added as one value.
func flattenList(m map[string]string, prefix string, l []any) {
	for _, w := range l {
		t, ok := w.(map[string]any)
		if !ok {
			m[prefix] = fmt.Sprint(l)

			return
		}

		flattenInto(m, fmt.Sprintf("%s[%v]", prefix, t["name"]), t)
	}
}
