package cmd

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os/user"
	"time"

	"github.com/agategap/agategap/config"
	"github.com/agategap/agategap/configs"
	"github.com/agategap/agategap/finding"
	"github.com/agategap/agategap/outcome"
	"github.com/agategap/agategap/platform"
	"github.com/agategap/agategap/wire"
)

var cmdPublish = &Cmd{
	Name:    "publish",
	Args:    "-platform ADDRESS [flags] FILE",
	Desc:    "shows what a configuration changes and publishes it",
	Example: "agategap publish -platform 127.0.0.1:7000 -author ada -wait lintas-config.toml",
	Action: func(ctx context.Context, e Env, args []string) error {
		f := e.newFlagSet()
		p := publication{env: e}

		a := f.String("platform", "", "address of the platform, IP:port")
		b := f.Int64("based-on", -1, "version that the configuration was based on, 0 for none; the version in force when not given")
		f.StringVar(&p.author, "author", userName(), "name of the operator")
		f.BoolVar(&p.dryRun, "n", false, "show the difference and publish nothing")
		f.BoolVar(&p.wait, "wait", false, "wait until every reachable daemon has adopted the version")
		f.DurationVar(&p.timeout, "timeout", defaultAdoptionTimeout, "longest time for -wait, and for finding out about a version whose append was not answered")
		d := f.String("daemons", "", "operator addresses of the daemons for -wait, separated by commas; those of the daemons' records in the log when empty")

		if err := e.parseFlags(f, args, 1, 1); err != nil {
			return err
		}

		if *a == "" || p.author == "" {
			return e.usageErrorf(f, "-platform and -author are required")
		}

		t, err := readFile(f.Arg(0))
		if err != nil {
			return err
		}

		if p.document, err = config.Parse(f.Arg(0), t); err != nil {
			return err
		}

		p.publisher = configs.NewPublisher(platform.NewStore(*a), wire.VersionCodec{})
		p.platform, p.text, p.basedOn, p.daemons, p.path = *a, t, *b, *d, f.Arg(0)

		return p.run(ctx)
	},
}

// defaultAdoptionTimeout is above the 16 s within which a version is in force everywhere.
const defaultAdoptionTimeout = 30 * time.Second

// publication is one call of the command.
type publication struct {
	env       Env
	path      string
	platform  string
	publisher *configs.Publisher
	text      []byte
	document  config.Document
	basedOn     int64
	author    string
	daemons   string
	dryRun       bool
	wait      bool
	timeout   time.Duration
}

func (p *publication) run(ctx context.Context) error {
	if err := p.publisher.Read(ctx); err != nil {
		return err
	}

	f := p.publisher.InForce()
	if err := p.checkPartitions(f); err != nil {
		return err
	}

	l := config.Diff(f.Document(), p.document)
	p.printDifference(f, l)

	if p.dryRun || len(l) == 0 && f.Number() != 0 {
		return nil
	}

	if p.basedOn < 0 {
		p.basedOn = f.Number()
	}

	n, err := p.publisher.Publish(ctx, config.Version{ID: newVersionID(), BaseOn: p.basedOn, Author: p.author, Text: p.text}, p.timeout)
	if err != nil {
		if outcome.Is(err, outcome.Conflict) {
			p.printConflict()
		}

		return err
	}

	p.env.printf("version %d is in force\n", n)

	if !p.wait {
		return nil
	}

	return p.waitForAdoption(ctx, n)
}

// checkPartitions refuses another number of partitions, as work would no longer be found under its key.
func (p *publication) checkPartitions(f config.AdoptedVersion) error {
	if f.Number() == 0 || f.Document().Partitions == p.document.Partitions {
		return nil
	}

	var l finding.List

	l.Addf(p.path, 1, "partitions", "%d partitions are in force and %d in the file; the number cannot be changed", f.Document().Partitions, p.document.Partitions)

	return l.Err()
}

func (p *publication) printDifference(f config.AdoptedVersion, l []config.Change) {
	if f.Number() == 0 {
		p.env.printf("no version is in force yet\n")
	} else {
		p.env.printf("difference to version %d by %q:\n", f.Number(), f.Version().Author)
	}

	for _, c := range l {
		p.env.printf("  %s\n", c)
	}

	if len(l) == 0 && f.Number() != 0 {
		p.env.printf("  none; nothing is published\n")
	}
}

// printConflict shows what others have changed since the version that this one is based on.
func (p *publication) printConflict() {
	r := p.publisher.InForce()

	b, ok := p.publisher.Version(p.basedOn)
	if !ok {
		return
	}

	p.env.printf("version %d by %q is in force; since version %d, on which yours is based:\n", r.Number(), r.Version().Author, p.basedOn)

	for _, c := range config.Diff(b.Document(), r.Document()) {
		p.env.printf("  %s\n", c)
	}
}

const adoptionPollInterval = 500 * time.Millisecond

// waitForAdoption waits until every reachable daemon has adopted a version.
func (p *publication) waitForAdoption(ctx context.Context, version int64) error {
	x, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()

	a, err := daemonAddresses(x, p.daemons, p.platform)
	if err != nil {
		return err
	}

	for {
		behind, reached := 0, 0

		l := fetchStates(x, a, false)
		for _, d := range l {
			if d.err == nil {
				reached++
			}

			if d.err == nil && d.configVersion() < version {
				behind++
			}
		}

		if behind == 0 && reached > 0 && x.Err() == nil {
			p.env.printf("%d of %d daemons have adopted version %d\n", reached, len(a), version)
			p.printDaemonsBehind(l, version)

			return nil
		}

		if !sleep(x, adoptionPollInterval) {
			p.printDaemonsBehind(l, version)

			return fmt.Errorf("version %d is in force, but %d reachable daemons have not adopted it within %s, and %d were not reached",
				version, behind, p.timeout, len(a)-reached)
		}
	}
}

// printDaemonsBehind lists the daemons that have not adopted a version.
func (p *publication) printDaemonsBehind(l []daemonState, version int64) {
	for _, d := range l {
		switch {
		case d.err != nil:
			p.env.printf("  %s is not reachable: %s\n", d.displayName(), d.err)
		case d.configVersion() < version:
			p.env.printf("  %s has version %d\n", d.displayName(), d.configVersion())
		}
	}
}

// userName returns the name of the operator at this machine; empty when it has none.
func userName() string {
	u, err := user.Current()
	if err != nil {
		return ""
	}

	return u.Username
}

func newVersionID() string {
	const bytes = 12

	b := make([]byte, bytes)
	_, _ = rand.Read(b)

	return hex.EncodeToString(b)
}
