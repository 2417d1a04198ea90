package cmd

import (
	"context"
	"errors"
	"flag"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/oklog/run"

	"github.com/agategap/agategap/standin/engine"
	"github.com/agategap/agategap/standin/service"
	"github.com/agategap/agategap/standin/store"
)

var cmdStandin = &Cmd{
	Name:    "standin",
	Args:    "platform|engine|service -address ADDRESS [flags]",
	Desc:    "runs a stand-in of an outside system, for tests",
	Example: "agategap standin engine -address 127.0.0.1:7201 -models signwriter",
	Action: func(ctx context.Context, e Env, args []string) error {
		if len(args) == 0 {
			e.newFlagSet().Usage()

			return errUsage
		}

		s, ok := standinConstructors[args[0]]
		if !ok {
			e.newFlagSet().Usage()

			return errUsage
		}

		e = e.withSubcommand(args[0], "[flags]", "runs a stand-in of the "+args[0]+", for tests", "agategap standin "+args[0]+" -address 127.0.0.1:7200")
		f := e.newFlagSet()
		a := f.String("address", "127.0.0.1:0", "listener, IP:port")
		h := s(f)

		if err := e.parseFlags(f, args[1:], 0, 0); err != nil {
			return err
		}

		return serveStandin(ctx, e, *a, h)
	},
}

// standinBuilder returns the handler of a stand-in, and what it runs beside it.
type standinBuilder func() (http.Handler, func(done <-chan struct{}))

var standinConstructors = map[string]func(f *flag.FlagSet) standinBuilder{
	"platform": func(f *flag.FlagSet) standinBuilder {
		r := f.Float64("appends", 0, "appends a second; 0 for no bound")
		k := f.Duration("retention", 0, "how long records are kept, but for the newest of each key; 0 for ever")
		s := f.Uint64("seed", 1, "seed of the faults")

		return func() (http.Handler, func(done <-chan struct{})) {
			return store.New(store.Options{AppendsPerSecond: *r, Retention: *k, Seed: *s}).Handler(), nil
		}
	},
	"engine": func(f *flag.FlagSet) standinBuilder {
		m := f.String("models", "", "models loaded at the start, separated by commas")
		n := f.Int("streams", 0, "streams in a batch; 0 for the default")
		t := f.Duration("step", 0, "time of a step without streams; 0 for the default")
		c := f.Bool("checks-fencing", false, "refuse orders with an old fencing token")
		s := f.Uint64("seed", 1, "seed of the faults")

		return func() (http.Handler, func(done <-chan struct{})) {
			g := engine.New(engine.Options{Models: strings.Split(*m, ","), MaxStreams: *n, StepBase: *t, ChecksFencing: *c, Seed: *s})

			return g.Handler(), g.Run
		}
	},
	"service": func(f *flag.FlagSet) standinBuilder {
		d := f.Duration("delay", 0, "time that each call takes")

		return func() (http.Handler, func(done <-chan struct{})) {
			s := &service.Service{}
			s.SetDelay(*d)

			return s.Handler(), nil
		}
	},
}

func serveStandin(ctx context.Context, e Env, address string, s standinBuilder) error {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}

	h, beside := s()

	const headerTimeout = 5 * time.Second

	v := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}

	var g run.Group

	x, stop := context.WithCancel(ctx)
	defer stop()

	g.Add(func() error {
		if beside != nil {
			beside(x.Done())
		}

		<-x.Done()

		return nil
	}, func(error) { stop() })
	g.Add(func() error {
		if err := v.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}

		return nil
	}, func(error) { _ = v.Close() })

	e.printf("listening on %s\n", l.Addr())

	return g.Run()
}
