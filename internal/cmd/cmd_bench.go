package cmd

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"github.com/agategap/agategap/bench"
)

var cmdBench = &Cmd{
	Name:    "bench",
	Args:    "-scenario NAME [-policy NAME,...] [-size NAME] [-seed N] [-phase TIME] [-format text|json] [-report FILE]",
	Desc:    "measures the daemon against the stand-ins, as ratios to a baseline of the same run",
	Example: "agategap bench -scenario slow-targets -policy round_robin,owner -size lintas -report report.html",
	Action: func(ctx context.Context, e Env, args []string) error {
		f := e.newFlagSet()
		n := f.String("scenario", "", "one of "+strings.Join(bench.ScenarioNames(), ", "))
		p := f.String("policy", strings.Join(bench.Policies, ","), "policies, separated by commas")
		z := f.String("size", "lintas", "lintas or faellesvagt")
		s := f.Uint64("seed", 1, "seed of loads and faults")
		d := f.Duration("phase", 0, "measured time of each phase; 0 for the scenario's own")
		t := f.String("format", "text", "text or json")
		r := f.String("report", "", "file for an HTML report with latency distributions")

		if err := e.parseFlags(f, args, 0, 0); err != nil {
			return err
		}

		i := slices.IndexFunc(bench.Sizes, func(v bench.Size) bool { return v.Name() == *z })
		if i < 0 || *t != "text" && *t != "json" {
			f.Usage()

			return errUsage
		}

		var l []bench.Result

		name, policies := strings.ReplaceAll(*n, "_", "-"), strings.Split(*p, ",")
		if !bench.DependsOnPolicy(name) {
			policies = policies[len(policies)-1:]
		}

		for _, v := range policies {
			x, err := bench.Run(ctx, name, bench.NewOptions(bench.Sizes[i], v, *s, *d))
			if err != nil {
				return err
			}

			if *t == "text" {
				bench.WriteText(e.out, x)
			}

			l = append(l, x...)
		}

		if *t == "json" {
			if err := bench.WriteJSON(e.out, l); err != nil {
				return err
			}
		}

		return writeBenchReport(*r, l)
	},
}

func writeBenchReport(path string, l []bench.Result) error {
	if path == "" {
		return nil
	}

	w, err := os.Create(path) //nolint:gosec // the operator names the file
	if err != nil {
		return trace.ConvertSystemError(err)
	}

	if err := bench.WriteReport(w, l); err != nil {
		_ = w.Close()

		return fmt.Errorf("%s: %w", path, err)
	}

	return w.Close()
}
