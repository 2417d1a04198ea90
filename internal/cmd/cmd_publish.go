package cmd

import (
	"context"
	"crypto/rand"
	"encoding/hex"

	"github.com/agategap/agategap/config"
	"github.com/agategap/agategap/controller"
	"github.com/agategap/agategap/outcome"
	"github.com/agategap/agategap/platform"
	"github.com/agategap/agategap/wire"
)

var cmdPublish = &Cmd{
	Name:    "publish",
	Args:    "-platform ADDRESS [-based-on VERSION] [-author NAME] FILE",
	Desc:    "publishes a configuration against the version that it was based on",
	Example: "agategap publish -platform 127.0.0.1:7000 -based-on 12 -author ada lintas.toml",
	Action: func(ctx context.Context, e Env, args []string) error {
		f := e.flags()
		a := f.String("platform", "", "address of the platform, IP:port")
		b := f.Int64("based-on", 0, "version that the configuration was based on; 0 for the first one")
		n := f.String("author", "", "name of the operator")

		if err := e.parse(f, args, 1, 1); err != nil {
			return err
		}

		t, err := readFile(f.Arg(0))
		if err != nil {
			return err
		}

		if _, err := config.Parse(f.Arg(0), t); err != nil {
			return err
		}

		o, err := publish(ctx, platform.New(*a), config.Version{ID: newID(), BaseOn: *b, Author: *n, Text: t})
		if err != nil {
			return err
		}

		e.printf("version %d is in force\n", o)

		return nil
	},
}

func newID() string {
	const bytes = 12

	b := make([]byte, bytes)
	_, _ = rand.Read(b)

	return hex.EncodeToString(b)
}

// publish appends a version and replays the stream to find out whether it came into force.
func publish(ctx context.Context, c *platform.Client, v config.Version) (int64, error) {
	b, err := (wire.Versions{}).EncodeVersion(v)
	if err != nil {
		return 0, err
	}

	o, err := c.Append(ctx, controller.ConfigStream, b)
	if err != nil {
		return 0, outcome.New(outcome.LogUnavailable, outcome.Unknown,
			"the log has not confirmed the version; look at agategap config before publishing again").WithCause(err)
	}

	l, err := replayConfig(ctx, c, o)
	if err != nil {
		return 0, err
	}

	if l.InForce().Offset() != o {
		return 0, outcome.New(outcome.Conflict, outcome.NotRun,
			"version %d by %q is in force; it is not the one that yours is based on (%d)",
			l.InForce().Offset(), l.InForce().Version().Author, v.BaseOn)
	}

	return o, nil
}

// replayConfig replays the configuration stream up to an offset; 0 means to its end.
func replayConfig(ctx context.Context, c *platform.Client, until int64) (*config.Ledger, error) {
	l, err := controller.ReplayVersions(ctx, c, wire.Versions{}, until)
	if err != nil {
		return nil, outcome.New(outcome.LogUnavailable, outcome.Unknown, "the log is not available").WithCause(err)
	}

	return l, nil
}
