package cmd

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"

	"github.com/agategap/agategap/soak"
)

// errPromisesBroken means that a soak run found a broken promise.
var errPromisesBroken = errors.New("promises were broken")

var cmdSoak = &Cmd{
	Name:    "soak",
	Args:    "[-seed N] [-runs N] [-length TIME] [-daemons N] [-workers N] [-callers N] [-keep DIR] [-format text|json] [-report FILE]",
	Desc:    "runs daemons as processes on loopback under random faults and checks what the system promises",
	Example: "agategap soak -seed 7 -length 30s -keep out",
	Action: func(ctx context.Context, e Env, args []string) error {
		f := e.newFlagSet()
		s := f.Uint64("seed", 0, "seed of the first run; 0 for one drawn from the clock")
		n := f.Int("runs", 1, "number of runs, with seeds in a row")
		l := f.Duration("length", 20*time.Second, "time with faults")
		d := f.Int("daemons", 9, "number of daemons")
		w := f.Int("workers", 6, "number of workers")
		c := f.Int("callers", 12, "number of callers")
		k := f.String("keep", "", "directory for the logs of runs that broke a promise")
		t := f.String("format", "text", "text or json")
		r := f.String("report", "", "file for an HTML report")

		if err := e.parseFlags(f, args, 0, 0); err != nil {
			return err
		}

		if *n < 1 || *l <= 0 || *d < 1 || *w < 1 || *c < 1 || *t != "text" && *t != "json" {
			f.Usage()

			return errUsage
		}

		if *s == 0 {
			*s = uint64(time.Now().UnixMilli()) //nolint:gosec // any number
		}

		p, err := os.Executable()
		if err != nil {
			return trace.ConvertSystemError(err)
		}

		reports, err := e.runSoaks(ctx, soak.Options{Program: p, Seed: *s, Length: *l, Daemons: *d, Workers: *w, Callers: *c}, *n, *k, *t == "text")
		if err != nil {
			return err
		}

		return e.writeSoakReports(reports, *t, *r)
	},
}

// runSoaks runs the soak test the given number of times with consecutive seeds. Each report is printed after its run if
// text is set.
func (e Env) runSoaks(ctx context.Context, o soak.Options, runs int, keep string, text bool) ([]soak.Report, error) {
	var l []soak.Report

	for range runs {
		r, err := e.runSoak(ctx, o, keep)
		if err != nil {
			return l, err
		}

		if text {
			if err := r.WriteText(e.out); err != nil {
				return l, err
			}
		}

		l = append(l, r)
		o.Seed++
	}

	return l, nil
}

// runSoak runs the soak test once. Its logs are copied to keep if a promise was broken and keep is not empty; otherwise
// they are removed.
func (e Env) runSoak(ctx context.Context, o soak.Options, keep string) (soak.Report, error) {
	dir, err := os.MkdirTemp("", "agategap-soak")
	if err != nil {
		return soak.Report{}, trace.ConvertSystemError(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()

	o.Dir = dir

	r, err := soak.Run(ctx, o)
	if err != nil || r.AllPromisesKept() || keep == "" {
		return r, err
	}

	return r, os.CopyFS(filepath.Join(keep, fmt.Sprint("seed-", o.Seed)), os.DirFS(dir))
}

func (e Env) writeSoakReports(l []soak.Report, format, report string) error {
	if format == "json" {
		if err := soak.WriteJSON(e.out, l); err != nil {
			return err
		}
	}

	if report != "" {
		w, err := os.Create(report) //nolint:gosec // the operator names the file
		if err != nil {
			return trace.ConvertSystemError(err)
		}

		if err := errors.Join(soak.WriteHTML(w, l), w.Close()); err != nil {
			return fmt.Errorf("%s: %w", report, err)
		}
	}

	for _, r := range l {
		if !r.AllPromisesKept() {
			return errPromisesBroken
		}
	}

	return nil
}
