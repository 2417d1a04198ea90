package cmd

import (
	"context"
	"os"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"github.com/agategap/agategap/daemon"
	"github.com/agategap/agategap/finding"
	"github.com/agategap/agategap/settings"
)

var cmdServe = &Cmd{
	Name:    "serve",
	Args:    "-settings FILE",
	Desc:    "runs the daemon of an entry VM",
	Example: "agategap serve -settings entry-1.toml",
	Action: func(ctx context.Context, e Env, args []string) error {
		f := e.flags()
		p := f.String("settings", "", "settings of this process, TOML")

		if err := e.parse(f, args, 0, 0); err != nil {
			return err
		}

		if *p == "" {
			f.Usage()

			return errUsage
		}

		s, err := readSettings(*p)
		if err != nil {
			return err
		}

		d, err := newDaemon(s, e)
		if err != nil {
			return err
		}

		return d.Run(ctx)
	},
}

// runner is a daemon with the interface that the settings ask for.
type runner interface {
	Run(ctx context.Context) error
}

func newDaemon(s settings.Daemon, e Env) (runner, error) {
	if s.Interface == settings.InterfaceRouted {
		e.err = e.out // the log goes to standard output

		return daemon.NewRouted(s, logger(e, s.LogLevel))
	}

	return daemon.New(s, logger(e, s.LogLevel))
}

func readSettings(path string) (settings.Daemon, error) {
	b, err := readFile(path)
	if err != nil {
		return settings.Daemon{}, err
	}

	return settings.ParseDaemon(path, b)
}

// readFile reads a file that the operator names. The error is a *finding.List.
func readFile(path string) ([]byte, error) {
	b, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err == nil {
		return b, nil
	}

	var l finding.List

	l.Addf(path, 0, "file", "cannot be read: %s", trace.UserMessage(trace.ConvertSystemError(err)))

	return nil, l.Err()
}

func logger(e Env, level string) zerolog.Logger {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		l = zerolog.InfoLevel
	}

	return zerolog.New(e.err).Level(l).With().Timestamp().Logger()
}
