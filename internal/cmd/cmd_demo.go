package cmd

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/agategap/agategap/demo"
)

var cmdDemo = &Cmd{
	Name:    "demo",
	Args:    "[-once] [-log-level LEVEL]",
	Desc:    "runs a whole small system on loopback and prints commands to try",
	Example: "agategap demo -once",
	Action: func(ctx context.Context, e Env, args []string) error {
		f := e.newFlagSet()
		once := f.Bool("once", false, "run three cases against the system, print their results and end")
		l := f.String("log-level", "warn", "debug, info, warn or error")

		if err := e.parseFlags(f, args, 0, 0); err != nil {
			return err
		}

		d, err := demo.Start(ctx, demo.Options{}, newLogger(e, *l))
		if err != nil {
			return err
		}
		defer d.Stop()

		if *once {
			return runCases(ctx, e, d)
		}

		printCommands(e, d)

		return d.Wait()
	},
}

// caseTimeout bounds each case of the demo.
const caseTimeout = 30 * time.Second

func runCases(ctx context.Context, e Env, d *demo.Demo) error {
	x, cancel := context.WithTimeout(ctx, caseTimeout)
	defer cancel()

	if err := d.WaitReady(x); err != nil {
		return err
	}

	var errs []error

	for _, c := range demo.Cases() {
		y, stop := context.WithTimeout(ctx, caseTimeout)
		r, err := c.Run(y, d)

		stop()

		if err != nil {
			e.printf("failed  %s: %s\n", c.Name(), err)
			errs = append(errs, err)

			continue
		}

		e.printf("ok      %s: %s\n", c.Name(), r)
	}

	return trace.NewAggregate(errs...)
}

func printCommands(e Env, d *demo.Demo) {
	e.printf(`The system is running; end it with an interrupt. Commands to try in another terminal:

  curl -N http://%[1]s/v1/chat/completions -H 'Authorization: Bearer %[4]s' \
    -d '{"model":"signwriter","stream":true,"messages":[{"role":"user","content":"level 3, 12 bays free"}]}'
  curl http://%[1]s/services/billing/notices -H 'Authorization: Bearer %[4]s' \
    -H 'Idempotency-Key: notice-1' -d '{"operator":"mall-7","amount":120}'
  agategap config -platform %[2]s
  agategap dump -address %[3]s
  agategap status -platform %[2]s
  AGATEGAP_KEY=%[4]s agategap job submit -address %[1]s -service signwriter -wait examples/notices.jsonl
`, d.CallerAddress(0), d.PlatformAddress(), d.OperatorAddress(0), demo.Key)
}
