package cmd

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/agategap/agategap/configs"
	"github.com/agategap/agategap/platform"
	"github.com/agategap/agategap/wire"
)

var cmdConfig = &Cmd{
	Name:    "config",
	Args:    "[-platform ADDRESS] [-daemons ADDRESSES] [-watch]",
	Desc:    "prints the configuration in force, and the version that each daemon has adopted",
	Example: "agategap config -platform 127.0.0.1:7000 -daemons 127.0.0.1:7101,127.0.0.1:7102",
	Action: func(ctx context.Context, e Env, args []string) error {
		f := e.newFlagSet()
		a := f.String("platform", "", "address of the platform, IP:port; its version in force is printed")
		d := f.String("daemons", "", "operator addresses of daemons, separated by commas; those of the daemons' records in the log when empty")
		w := f.Bool("watch", false, "print the versions again whenever one changes, until an interrupt")
		n := f.Duration("interval", time.Second, "time between two looks of -watch")

		if err := e.parseFlags(f, args, 0, 0); err != nil {
			return err
		}

		if *a == "" && *d == "" {
			return e.usageErrorf(f, "-platform or -daemons is required")
		}

		c := configView{env: e, daemons: *d, platform: *a}
		if *a != "" {
			c.publisher = configs.NewPublisher(platform.NewStore(*a), wire.VersionCodec{})
		}

		if *w {
			return c.watch(ctx, max(*n, minWatchInterval))
		}

		return c.print(ctx)
	},
}

// minWatchInterval keeps a watch from flooding the daemons.
const minWatchInterval = 100 * time.Millisecond

// configView shows versions.
type configView struct {
	env       Env
	platform  string
	publisher *configs.Publisher
	daemons   string
}

// print prints the versions as comments, followed by the document in force.
func (c configView) print(ctx context.Context) error {
	if c.publisher == nil {
		l, err := c.versionLines(ctx)
		c.env.printf("%s\n", strings.Join(l, "\n"))

		return err
	}

	if err := c.publisher.Read(ctx); err != nil {
		return err
	}

	l, _ := c.versionLines(ctx) // no daemon may be recorded in the log
	c.env.printf("%s\n%s", strings.Join(l, "\n"), c.publisher.InForce().Version().Text)

	return nil
}

// watch prints the versions whenever they differ from those printed last.
func (c configView) watch(ctx context.Context, interval time.Duration) error {
	var last []string

	for {
		if c.publisher != nil {
			if err := c.publisher.Read(ctx); err != nil && ctx.Err() == nil {
				c.env.printf("# %s\n", err)
			}
		}

		l, err := c.versionLines(ctx)
		if err != nil && c.publisher == nil {
			return err
		}

		if !slices.Equal(l, last) && ctx.Err() == nil {
			c.env.printf("%s\n%s\n", time.Now().UTC().Format(time.RFC3339), strings.Join(l, "\n"))

			last = l
		}

		if !sleep(ctx, interval) {
			return nil
		}
	}
}

// versionLines returns one line for the version in force and one for each daemon.
func (c configView) versionLines(ctx context.Context) ([]string, error) {
	var l []string

	if c.publisher != nil {
		f := c.publisher.InForce()
		l = append(l, fmt.Sprintf("# version %d, based on %d, by %s", f.Number(), f.Version().BaseOn, f.Version().Author))
	}

	a, err := daemonAddresses(ctx, c.daemons, c.platform)
	if err != nil {
		return l, err
	}

	for _, d := range fetchStates(ctx, a, false) {
		if d.err != nil {
			l = append(l, fmt.Sprintf("# %s is not reachable", d.displayName()))

			continue
		}

		l = append(l, fmt.Sprintf("# %s has version %d", d.displayName(), d.configVersion()))
	}

	return l, nil
}
