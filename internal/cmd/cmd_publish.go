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
		f := e.flags()
		p := publication{env: e}

		a := f.String("platform", "", "address of the platform, IP:port")
		b := f.Int64("based-on", -1, "version that the configuration was based on, 0 for none; the version in force when not given")
		f.StringVar(&p.author, "author", userName(), "name of the operator")
		f.BoolVar(&p.dry, "n", false, "show the difference and publish nothing")
		f.BoolVar(&p.wait, "wait", false, "wait until every reachable daemon has adopted the version")
		f.DurationVar(&p.timeout, "timeout", defaultAdoptWait, "longest time for -wait, and for finding out about a version whose append was not answered")
		d := f.String("daemons", "", "operator addresses of the daemons for -wait, separated by commas; those of the daemons' records in the log when empty")

		if err := e.parse(f, args, 1, 1); err != nil {
			return err
		}

		if *a == "" || p.author == "" {
			return e.usage(f, "-platform and -author are required")
		}

		t, err := readFile(f.Arg(0))
		if err != nil {
			return err
		}

		if p.document, err = config.Parse(f.Arg(0), t); err != nil {
			return err
		}

		p.publisher = configs.NewPublisher(platform.NewStore(*a), wire.VersionCodec{})
		p.platform, p.text, p.based, p.daemons, p.path = *a, t, *b, *d, f.Arg(0)

		return p.run(ctx)
	},
}

// defaultAdoptWait is above the 16 s within which a version is in force everywhere.
const defaultAdoptWait = 30 * time.Second

// publication is one call of the command.
type publication struct {
	env       Env
	path      string
	platform  string
	publisher *configs.Publisher
	text      []byte
	document  config.Document
	based     int64
	author    string
	daemons   string
	dry       bool
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
	p.show(f, l)

	if p.dry || len(l) == 0 && f.Number() != 0 {
		return nil
	}

	if p.based < 0 {
		p.based = f.Number()
	}

	n, err := p.publisher.Publish(ctx, config.Version{ID: newID(), BaseOn: p.based, Author: p.author, Text: p.text}, p.timeout)
	if err != nil {
		if outcome.Is(err, outcome.Conflict) {
			p.showRival()
		}

		return err
	}

	p.env.printf("version %d is in force\n", n)

	if !p.wait {
		return nil
	}

	return p.await(ctx, n)
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

func (p *publication) show(f config.AdoptedVersion, l []config.Change) {
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

// showRival shows what others have changed since the version that this one is based on.
func (p *publication) showRival() {
	r := p.publisher.InForce()

	b, ok := p.publisher.Version(p.based)
	if !ok {
		return
	}

	p.env.printf("version %d by %q is in force; since version %d, on which yours is based:\n", r.Number(), r.Version().Author, p.based)

	for _, c := range config.Diff(b.Document(), r.Document()) {
		p.env.printf("  %s\n", c)
	}
}

const adoptInterval = 500 * time.Millisecond

// await waits until every reachable daemon has adopted a version.
func (p *publication) await(ctx context.Context, version int64) error {
	x, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()

	a, err := daemonAddresses(x, p.daemons, p.platform)
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

// userName returns the name of the operator at this machine; empty when it has none.
func userName() string {
	u, err := user.Current()
	if err != nil {
		return ""
	}

	return u.Username
}

func newID() string {
	const bytes = 12

	b := make([]byte, bytes)
	_, _ = rand.Read(b)

	return hex.EncodeToString(b)
}
