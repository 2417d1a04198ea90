package keyed

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/agategap/agategap/stream"
)

// partialLoad is what a load has read so far: pages of the newest record of each key, and then the records that were
// appended between the first page and the last one.
type partialLoad struct {
	newest    map[string]stream.KeyedRecord // by key
	next      int64                         // offset of the next record to read; negative before the first page
	end       int64                         // end of the partition according to the last page
	isListed  bool                          // all pages are read
	lastKey   string
	startedAt time.Time
}

// maxPartialLoadAge is the greatest age of an interrupted load that is continued. The records that were appended since
// its first page are read once it is complete, so the log has to retain them until then. Platforms retain records for
// at least some tens of seconds.
const maxPartialLoadAge = 10 * time.Second

// takePartialLoad returns the interrupted load, or a new one if there is none or it is too old. A load that started
// over after each failure would never complete while the log is slow.
func (c *Consumer) takePartialLoad() *partialLoad {
	c.mu.Lock()
	defer c.mu.Unlock()

	g := c.partial
	c.partial = nil

	if g == nil || time.Since(g.startedAt) > maxPartialLoadAge {
		g = &partialLoad{newest: map[string]stream.KeyedRecord{}, next: -1, startedAt: time.Now()}
	}

	return g
}

// keepPartialLoad keeps an interrupted load for the next attempt.
func (c *Consumer) keepPartialLoad(g *partialLoad) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.partial = g
}

// load resets the sink to the newest record of each key. The pages are not a snapshot: a key of a later page may have a
// record that depends on one that replaced that of an earlier page. Therefore load reads the records up to the end
// according to the last page before the sink gets any.
func (c *Consumer) load(ctx context.Context) error {
	g := c.takePartialLoad()

	if err := c.readPages(ctx, g); err != nil {
		c.keepPartialLoad(g)

		return err
	}

	if err := c.readChanges(ctx, g); err != nil {
		if !errors.Is(err, stream.ErrTruncated) { // otherwise the load starts over
			c.keepPartialLoad(g)
		}

		return err
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	if c.loaded && g.end < c.nextOffset {
		return nil // a concurrent call has applied later records
	}

	c.sink.Reset(slices.Collect(maps.Values(g.newest)), g.end)
	c.nextOffset = g.end

	if g.startedAt.After(c.syncedAt) {
		c.syncedAt = g.startedAt
	}

	if !c.loaded {
		c.loaded = true

		close(c.ready)
	}

	return nil
}

// readPages reads the pages of newest records that g does not have yet.
func (c *Consumer) readPages(ctx context.Context, g *partialLoad) error {
	for !g.isListed {
		p, err := c.log.Newest(ctx, c.name, c.partition, g.lastKey)
		if err != nil {
			return err
		}

		if g.next < 0 {
			g.next = p.End()
		}

		for _, k := range p.Records() {
			g.newest[k.Key()] = k
			g.lastKey = k.Key()
		}

		g.end, g.isListed = p.End(), !p.HasMore() || len(p.Records()) == 0
	}

	return nil
}

// readChanges reads the records that were appended between the first page and the last one.
func (c *Consumer) readChanges(ctx context.Context, g *partialLoad) error {
	for g.next < g.end {
		p, err := c.log.Tail(ctx, c.name, c.partition, g.next, 0)
		if err != nil {
			return err
		}

		from := g.next

		for _, k := range p.Records() {
			if k.Offset() == g.next && g.next < g.end {
				g.apply(k)
			}
		}

		if g.next == from {
			return fmt.Errorf("%w: no record at offset %d, though the partition ends at %d", stream.ErrUnavailable, from, g.end)
		}
	}

	return nil
}

// apply takes the next record, which replaces or drops its key. A record that cannot be read has no key.
func (g *partialLoad) apply(k stream.KeyedRecord) {
	g.next++

	switch {
	case k.Key() == "":
	case len(k.Value()) == 0:
		delete(g.newest, k.Key())
	default:
		g.newest[k.Key()] = k
	}
}
