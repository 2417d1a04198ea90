package cmd

import (
	"bytes"
	"context"
	"encoding/json"

	"github.com/agategap/agategap/outcome"
)

var cmdDump = &Cmd{
	Name:    "dump",
	Args:    "[-address ADDRESS | -daemons ADDRESSES | -platform ADDRESS]",
	Desc:    "prints the state of one daemon or of all as JSON",
	Example: "agategap dump -daemons 127.0.0.1:7101,127.0.0.1:7102",
	Action: func(ctx context.Context, e Env, args []string) error {
		f := e.newFlagSet()
		o := f.String("address", "", "operator address of one daemon, IP:port; its state alone is printed")
		d := f.String("daemons", "", "operator addresses, separated by commas; an object with the state of each is printed")
		p := f.String("platform", "", "address of the platform, whose log has the records of the daemons, IP:port")

		if err := e.parseFlags(f, args, 0, 0); err != nil {
			return err
		}

		if *o != "" {
			return dumpOne(ctx, e, *o)
		}

		if *d == "" && *p == "" {
			return e.usageErrorf(f, "-address, -daemons or -platform is required")
		}

		a, err := daemonAddresses(ctx, *d, *p)
		if err != nil {
			return err
		}

		return dumpAll(ctx, e, a)
	},
}

func dumpOne(ctx context.Context, e Env, address string) error {
	d := fetchState(ctx, address, false)
	if d.err != nil {
		return d.err
	}

	var b bytes.Buffer
	if err := json.Indent(&b, d.rawDump, "", "  "); err != nil {
		return err
	}

	e.printf("%s\n", bytes.TrimSpace(b.Bytes()))

	return nil
}

// dumpAll prints the states of all daemons. A daemon that cannot be reached has an error in place of its state.
func dumpAll(ctx context.Context, e Env, addresses []string) error {
	m := map[string]any{}
	failed := 0

	for _, d := range fetchStates(ctx, addresses, false) {
		if d.err != nil {
			m[d.address] = map[string]string{"error": d.err.Error()}
			failed++

			continue
		}

		m[d.address] = json.RawMessage(d.rawDump)
	}

	n := json.NewEncoder(e.out)
	n.SetIndent("", "  ")

	if err := n.Encode(m); err != nil {
		return err
	}

	if failed > 0 {
		return outcome.New(outcome.NotReady, outcome.Failed, "%d of %d daemons are not reachable", failed, len(addresses))
	}

	return nil
}
