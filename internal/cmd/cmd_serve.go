package cmd

import (
	"context"
	"fmt"
	"os"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"github.com/agategap/agategap/daemon"
	"github.com/agategap/agategap/finding"
	"github.com/agategap/agategap/logging"
	"github.com/agategap/agategap/settings"
)

var cmdServe = &Cmd{
	Name:    "serve",
	Args:    "-settings FILE",
	Desc:    "runs the daemon of an entry VM",
	Example: "agategap serve -settings entry-1.toml",
	Action: func(ctx context.Context, e Env, args []string) error {
		f := e.newFlagSet()
		p := f.String("settings", "", "settings of this process, TOML")

		if err := e.parseFlags(f, args, 0, 0); err != nil {
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

// server is a daemon with the interface that the settings ask for.
type server interface {
	Run(ctx context.Context) error
}

func newDaemon(s settings.Daemon, e Env) (server, error) {
	if s.Interface == settings.InterfaceRouted {
		return daemon.NewRoutedDaemon(s, logging.New(e.out, parseLevel(s.LogLevel), func(n int) {
			_, _ = fmt.Fprintf(e.err, "agategap: %d lines of the log were dropped, as its reader is too slow\n", n)
		}))
	}

	return daemon.New(s, newLogger(e, s.LogLevel))
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

func newLogger(e Env, name string) zerolog.Logger {
	return zerolog.New(e.err).Level(parseLevel(name)).With().Timestamp().Logger()
}

// parseLevel returns the level of a name that the settings have checked.
func parseLevel(name string) zerolog.Level {
	l, err := zerolog.ParseLevel(name)
	if err != nil {
		return zerolog.InfoLevel
	}

	return l
}
