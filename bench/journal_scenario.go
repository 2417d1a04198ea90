package bench

import (
	"context"
	"fmt"
	"slices"
	"time"
)

// Bounds of the journal scenario, from the table in docs/design.md.
const (
	minItemsPerSecond   = 13_900
	maxAppendsPerSecond = 300
)

// measureJournal measures the accepted items and appends a second by group size. The results are those of the largest
// group.
func measureJournal(ctx context.Context, o Options) ([]Result, error) {
	l, err := MeasureGroupCommit(ctx, o.seed)
	if err != nil {
		return nil, err
	}

	var items, appends []Figure

	for _, v := range l {
		items = append(items, NewFigure(fmt.Sprintf("items_per_s_at_%d", v.GroupSize()), v.ItemsPerSecond()))
		appends = append(appends, NewFigure(fmt.Sprintf("appends_per_s_at_%d", v.GroupSize()), v.AppendsPerSecond()))
	}

	last := l[len(l)-1]

	return []Result{
		NewResult("journal", "items_per_s", o, last.ItemsPerSecond(), minItemsPerSecond, false, items...),
		NewResult("journal", "appends_per_s", o, last.AppendsPerSecond(), maxAppendsPerSecond, true, appends...),
	}, nil
}

// measureConfig runs the control scenario and returns only its result about the adoption of a configuration. The
// default of the idle time is 1 s, as it does not affect that result.
func measureConfig(ctx context.Context, o Options) ([]Result, error) {
	o.phaseTime = o.phaseTimeOr(time.Second)

	l, err := measureControl(ctx, o)

	return slices.DeleteFunc(l, func(r Result) bool { return r.measure != "config_seconds" }), err
}
