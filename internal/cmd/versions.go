package cmd

import (
	"context"
	"errors"
	"time"

	"github.com/agategap/agategap/config"
	"github.com/agategap/agategap/controller"
	"github.com/agategap/agategap/outcome"
	"github.com/agategap/agategap/platform"
	"github.com/agategap/agategap/stream"
	"github.com/agategap/agategap/wire"
)

// versions is the replayed configuration stream.
type versions struct {
	ledger config.Ledger
	next   int64
	// sought is the identifier of a publication whose fate is looked for.
	sought  string
	offset  int64
	verdict config.Verdict
	err     error
	// rival is the version in force when the publication was replayed.
	rival config.InForce
	// adopted has the versions that were in force, by offset.
	adopted map[int64]config.InForce
}

// readMore replays what the stream has from where the last call ended. It waits for a new record at most for wait.
func (v *versions) readMore(ctx context.Context, c *platform.Client, wait time.Duration) error {
	v.next = max(1, v.next)

	for {
		p, err := c.Read(ctx, controller.ConfigStream, v.next, wait)
		if errors.Is(err, stream.ErrDropped) {
			v.next = p.Oldest()
			v.ledger.Restart(v.next)

			continue
		}

		if err != nil {
			return outcome.New(outcome.LogUnavailable, outcome.NotRun, "the log cannot be read").WithCause(err)
		}

		for _, e := range p.Entries() {
			v.replay(e)
		}

		if v.next >= p.Next() {
			return nil
		}

		wait = 0
	}
}

func (v *versions) replay(e stream.Entry) {
	v.next = e.Offset() + 1

	r, err := (wire.Versions{}).DecodeVersion(e.Data())
	if err != nil {
		return
	}

	before := v.ledger.InForce()

	d, err := v.ledger.Apply(e.Offset(), r)
	if d == config.Adopted {
		if v.adopted == nil {
			v.adopted = map[int64]config.InForce{}
		}

		v.adopted[e.Offset()] = v.ledger.InForce()
	}

	if r.ID == v.sought && v.offset == 0 {
		v.offset, v.verdict, v.err, v.rival = e.Offset(), d, err, before
	}
}

// readVersions replays the whole configuration stream.
func readVersions(ctx context.Context, c *platform.Client) (*versions, error) {
	v := &versions{}

	return v, v.readMore(ctx, c, 0)
}

// publish appends a version and reads the stream to find out what became of it. A version whose append response was
// lost is looked for until wait has passed.
func (v *versions) publish(ctx context.Context, c *platform.Client, r config.Version, wait time.Duration) error {
	b, err := (wire.Versions{}).EncodeVersion(r)
	if err != nil {
		return err
	}

	v.sought, v.offset = r.ID, 0

	_, err = c.Append(ctx, controller.ConfigStream, b)
	if errors.Is(err, stream.ErrRefused) {
		return outcome.New(outcome.LogUnavailable, outcome.NotRun, "the log refused the version; publish it again later").WithCause(err)
	}

	return v.resolve(ctx, c, wait)
}

// resolve reads the stream until the sought publication shows up.
func (v *versions) resolve(ctx context.Context, c *platform.Client, wait time.Duration) error {
	x, cancel := context.WithTimeout(ctx, wait)
	defer cancel()

	for {
		err := v.readMore(x, c, time.Second)
		if v.offset != 0 {
			return nil
		}

		if x.Err() != nil {
			return outcome.New(outcome.LogUnavailable, outcome.Unknown,
				"the log has not confirmed the version, and it is not in the stream yet; look at agategap config before publishing again").WithCause(err)
		}

		if err != nil {
			pause(x, time.Second)
		}
	}
}

// pause waits for d or until ctx ends, and reports whether it waited in full.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
