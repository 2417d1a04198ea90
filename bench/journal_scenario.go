package bench

import (
	"context"
	"fmt"
	"slices"
	"time"
)

// Bounds of the journal scenario, from the table in docs/design.md.
const (
	boundItems   = 13_900
	boundAppends = 300
)

// journalScenario measures the accepted items a second within the log's rate by group size. The largest group counts.
func journalScenario(ctx context.Context, o Options) ([]Result, error) {
	l, err := Journal(ctx, o.seed)
	if err != nil {
		return nil, err
	}

	var items, appends []Figure

	for _, v := range l {
		items = append(items, NewFigure(fmt.Sprintf("items_per_s_at_%d", v.Group()), v.ItemsPerSecond()))
		appends = append(appends, NewFigure(fmt.Sprintf("appends_per_s_at_%d", v.Group()), v.AppendsPerSecond()))
	}

	last := l[len(l)-1]

	return []Result{
		NewResult("journal", "items_per_s", o, last.ItemsPerSecond(), boundItems, false, items...),
		NewResult("journal", "appends_per_s", o, last.AppendsPerSecond(), boundAppends, true, appends...),
	}, nil
}

// configScenario is the part of the control scenario about the adoption of a configuration.
func configScenario(ctx context.Context, o Options) ([]Result, error) {
	o.phase = o.phaseOr(time.Second)

	l, err := controlScenario(ctx, o)

	return slices.DeleteFunc(l, func(r Result) bool { return r.measure != "config_seconds" }), err
}
