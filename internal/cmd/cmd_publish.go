package cmd

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
	"time"

	"github.com/agategap/agategap/config"
	"github.com/agategap/agategap/outcome"
	"github.com/agategap/agategap/platform"
)

var cmdPublish = &Cmd{
	Name:    "publish",
	Args:    "-platform ADDRESS [flags] FILE",
	Desc:    "shows what a configuration changes and publishes it",
	Example: "agategap publish -platform 127.0.0.1:7000 -author ada -wait lintas-config.toml",
	Action: func(ctx context.Context, e Env, args []string) error {
		f := e.flags()
		p := publication{env: e}

		a := f.String("platform", "", "address of the platform, IP:port")
		b := f.Int64("based-on", -1, "version that the configuration was based on, 0 for none; the version in force when not given")
		f.StringVar(&p.author, "author", os.Getenv("USER"), "name of the operator")
		f.BoolVar(&p.dry, "n", false, "show the difference and publish nothing")
		f.BoolVar(&p.wait, "wait", false, "wait until every reachable daemon has adopted the version")
		f.DurationVar(&p.timeout, "timeout", defaultAdoptWait, "longest time for -wait")
		d := f.String("daemons", "", "operator addresses of the daemons for -wait, separated by commas; those of the platform's list when empty")

		if err := e.parse(f, args, 1, 1); err != nil {
			return err
		}

		if *a == "" {
			return e.usage(f, "-platform is required")
		}

		t, err := readFile(f.Arg(0))
		if err != nil {
			return err
		}

		if p.document, err = config.Parse(f.Arg(0), t); err != nil {
			return err
		}

		p.client, p.text, p.based, p.daemons = platform.New(*a), t, *b, *d

		return p.run(ctx)
	},
}

// defaultAdoptWait is above the 16 s within which a version is in force everywhere.
const defaultAdoptWait = 30 * time.Second

// publication is one call of the command.
type publication struct {
	env      Env
	client   *platform.Client
	text     []byte
	document config.Document
	based    int64
	author   string
	daemons  string
	dry      bool
	wait     bool
	timeout  time.Duration
}

func (p *publication) run(ctx context.Context) error {
	v, err := readVersions(ctx, p.client)
	if err != nil {
		return err
	}

	f := v.ledger.InForce()
	l := config.Difference(f.Document(), p.document)
	p.show(f, l)

	if p.dry || len(l) == 0 && f.Offset() != 0 {
		return nil
	}

	if p.based < 0 {
		p.based = f.Offset()
	}

	if err := v.publish(ctx, p.client, config.Version{ID: newID(), BaseOn: p.based, Author: p.author, Text: p.text}); err != nil {
		return err
	}

	if v.verdict != config.Adopted {
		return p.refused(v, f)
	}

	p.env.printf("version %d is in force\n", v.offset)

	if !p.wait {
		return nil
	}

	return p.await(ctx, v.offset)
}

func (p *publication) show(f config.InForce, l []config.Change) {
	if f.Offset() == 0 {
		p.env.printf("no version is in force yet\n")
	} else {
		p.env.printf("difference to version %d by %q:\n", f.Offset(), f.Version().Author)
	}

	for _, c := range l {
		p.env.printf("  %s\n", c)
	}

	if len(l) == 0 && f.Offset() != 0 {
		p.env.printf("  none; nothing is published\n")
	}
}

// refused reports why a version did not come into force. shown is the version that the difference was shown against.
func (p *publication) refused(v *versions, shown config.InForce) error {
	if v.verdict == config.Invalid {
		return outcome.New(outcome.InvalidRequest, outcome.NotRun, "the daemons refuse the version as invalid").WithCause(v.err)
	}

	r := v.rival
	p.env.printf("version %d by %q is in force instead", r.Offset(), r.Version().Author)

	if r.Offset() == shown.Offset() {
		p.env.printf("\n")
	} else {
		p.env.printf("; it changed, after the difference was shown:\n")

		for _, c := range config.Difference(shown.Document(), r.Document()) {
			p.env.printf("  %s\n", c)
		}
	}

	return outcome.New(outcome.Conflict, outcome.NotRun,
		"conflict: version %d by %q is in force, and yours is based on version %d; merge its changes and publish again",
		r.Offset(), r.Version().Author, p.based)
}

const adoptInterval = 500 * time.Millisecond

// await waits until every reachable daemon has adopted a version.
func (p *publication) await(ctx context.Context, version int64) error {
	x, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()

	a, err := daemonAddresses(x, p.daemons, p.client)
	if err != nil {
		return err
	}

	for {
		behind, reached := 0, 0

		l := askAll(x, a, false)
		for _, d := range l {
			if d.err == nil {
				reached++
			}

			if d.err == nil && d.version() < version {
				behind++
			}
		}

		if behind == 0 && reached > 0 && x.Err() == nil {
			p.env.printf("%d of %d daemons have adopted version %d\n", reached, len(a), version)
			p.name(l, version)

			return nil
		}

		if !pause(x, adoptInterval) {
			p.name(l, version)

			return fmt.Errorf("version %d is in force, but %d reachable daemons have not adopted it within %s, and %d were not reached",
				version, behind, p.timeout, len(a)-reached)
		}
	}
}

// name lists the daemons that have not adopted a version.
func (p *publication) name(l []daemonState, version int64) {
	for _, d := range l {
		switch {
		case d.err != nil:
			p.env.printf("  %s is not reachable: %s\n", d.name(), d.err)
		case d.version() < version:
			p.env.printf("  %s has version %d\n", d.name(), d.version())
		}
	}
}

func newID() string {
	const bytes = 12

	b := make([]byte, bytes)
	_, _ = rand.Read(b)

	return hex.EncodeToString(b)
}
