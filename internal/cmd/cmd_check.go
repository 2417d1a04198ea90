package cmd

import (
	"context"
	"errors"

	"github.com/agategap/agategap/answers"
	"github.com/agategap/agategap/config"
	"github.com/agategap/agategap/finding"
	"github.com/agategap/agategap/settings"
	"github.com/agategap/agategap/tomlfile"
)

var cmdCheck = &Cmd{
	Name:    "check",
	Args:    "[-kind settings|configuration|answers] FILE...",
	Desc:    "checks files and prints all findings, each as file:line: key: message",
	Example: "agategap check entry-1.toml examples/lintas.toml",
	Action: func(_ context.Context, e Env, args []string) error {
		f := e.newFlagSet()
		k := f.String("kind", "", "kind of the files: settings, configuration or answers; found out from each file when empty")

		if err := e.parseFlags(f, args, 1, 1000); err != nil { //nolint:mnd // maximum number of files
			return err
		}

		if _, ok := checksByKind[*k]; !ok && *k != "" {
			f.Usage()

			return errUsage
		}

		var l finding.List

		for _, p := range f.Args() {
			checkFile(&l, p, *k)
		}

		if l.Err() == nil {
			e.printf("%d files have no findings\n", f.NArg())
		}

		return l.Err()
	},
}

// checksByKind has the function that checks a file, by the kind of the file.
var checksByKind = map[string]func(file string, b []byte) error{
	"settings": func(f string, b []byte) error {
		_, err := settings.ParseDaemon(f, b)

		return err
	},
	"configuration": func(f string, b []byte) error {
		_, err := config.Parse(f, b)

		return err
	},
	"answers": func(f string, b []byte) error {
		_, err := answers.Generate(f, b)

		return err
	},
}

// keysByKind lists top-level keys that occur in only one kind of file.
var keysByKind = map[string][]string{
	"settings":      {"vm", "caller_address", "operator_address", "peer_address", "failure_domain"},
	"configuration": {"services", "accounts", "bounds", "batch", "partitions"},
	"answers":       {"flows", "callers", "team", "shortage"},
}

// detectKind returns the kind with the most keys in the file, or an empty string if there are none or two kinds tie.
func detectKind(x tomlfile.Index) string {
	kind, maxKeys := "", 0

	for k, keys := range keysByKind {
		n := 0

		for _, v := range keys {
			if x.Has(v) || x.Has(v+"[0]") {
				n++
			}
		}

		switch {
		case n > maxKeys:
			kind, maxKeys = k, n
		case n == maxKeys:
			kind = ""
		}
	}

	return kind
}

func checkFile(l *finding.List, path, kind string) {
	var o *finding.List

	b, err := readFile(path)
	if errors.As(err, &o) {
		l.Append(o)

		return
	}

	if kind == "" {
		var v map[string]any

		x := tomlfile.Decode(path, b, &v, l)
		if !x.IsWellFormed() {
			return
		}

		if kind = detectKind(x); kind == "" {
			l.Addf(path, 1, "file", "the kind cannot be detected from the keys; set -kind to settings, configuration or answers")

			return
		}
	}

	if err := checksByKind[kind](path, b); errors.As(err, &o) {
		l.Append(o)
	}
}
