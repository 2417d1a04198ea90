package config

import (
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Change is one setting that differs between two documents.
type Change struct {
	key    string
	before string
	after  string
}

// Key returns the setting, such as services[notices].deadline. Accounts, services and targets go by their names.
func (c Change) Key() string { return c.key }

// Before returns the earlier value as text; empty when the setting is new.
func (c Change) Before() string { return c.before }

// After returns the later value as text; empty when the setting is gone.
func (c Change) After() string { return c.after }

// String returns the change in one line: + for new, - for gone, ~ for changed.
func (c Change) String() string {
	switch {
	case c.before == "":
		return fmt.Sprintf("+ %s = %s", c.key, c.after)
	case c.after == "":
		return fmt.Sprintf("- %s = %s", c.key, c.before)
	}

	return fmt.Sprintf("~ %s = %s -> %s", c.key, c.before, c.after)
}

// Diff returns the settings that differ, by key. Only values count, not how they are written.
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

// flatten maps the dotted keys of a document to their values as text.
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

// flattenList goes by the names of tables; a list of plain values is one value.
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
