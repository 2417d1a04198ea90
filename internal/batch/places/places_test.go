package places_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/agategap/agategap/internal/batch/places"
)

// TestMain fixes the seed of the property tests, so that CI runs are repeatable. For more runs, use
// go test ./internal/batch/places -rapid.checks 1000 -rapid.seed N.
func TestMain(m *testing.M) {
	flag.Parse()

	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261205")
	}

	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("25")
	}

	os.Exit(m.Run())
}

// Example shows how two services share four places.
func Example() {
	p, now := places.New(4), time.Unix(0, 0)

	for range 4 {
		_, ok := p.Take("a", false, now)
		fmt.Print(ok, " ")
	}

	for range 3 {
		_, ok := p.Take("b", false, now)
		fmt.Print(ok, " ")
	}
	// Output: true true true true true true false
}

// Guards against services and jobs whose items never run, and so never release their places, that keep the items of
// others from getting one, and against places that a single service cannot use. In each step every service requests places
// for all its items in random order; those of lost services hold theirs for ever, and those of unservable jobs fail in
// each step. The sound items of a service start once each item before them was attempted.
func TestOthersGetPlaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const total, steps = 48, 60

		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 4))
		lost, sound := rapid.IntRange(0, 40).Draw(t, "lost"), rapid.IntRange(1, 4).Draw(t, "sound")
		unservable := rapid.IntRange(0, 200).Draw(t, "unservable") // items of each sound service that fail at each attempt
		p, now := places.New(total), time.Unix(0, 0)
		started := make([]int, sound)
		failures := make([][]int, sound)

		for k := range sound {
			failures[k] = make([]int, unservable)
		}

		for range steps {
			now = now.Add(100 * time.Millisecond)

			var held []places.Place

			services := r.Perm(lost + sound)
			for _, n := range services {
				if n < lost {
					for range 100 {
						_, _ = p.Take(fmt.Sprint("lost", n), false, now)
					}

					continue
				}

				k := n - lost

				for i := range failures[k] { // due first
					if c, ok := p.Take(fmt.Sprint("sound", k), failures[k][i] > 0, now); ok {
						failures[k][i]++

						held = append(held, c)
					}
				}

				for range 10 {
					if c, ok := p.Take(fmt.Sprint("sound", k), false, now); ok {
						started[k]++

						held = append(held, c)
					}
				}
			}

			for _, c := range held {
				c.Release()
			}
		}

		share := max(2, total/(lost+sound))
		attempted := (unservable + share/2 - 1) / (share - share/2) // steps until each unservable item was attempted

		for k, n := range started {
			if n < steps-attempted-1 {
				t.Fatalf("sound service %d started %d items in %d steps, %d of them before all items were attempted", k, n, steps, attempted)
			}
		}

		if lost == 0 && sound == 1 && unservable == 0 && started[0] != 10*steps {
			t.Fatalf("a single service started %d items instead of %d", started[0], 10*steps)
		}
	})
}

// Guards against a number of active items that grows without bound with the services that become active one after the
// other.
func TestPlacesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total, services := rapid.IntRange(1, 64).Draw(t, "total"), rapid.IntRange(1, 32).Draw(t, "services")
		p, used := places.New(total), 0
		bound := 0

		for n := range services {
			bound += max(2, total/(n+1))

			for range total + 1 {
				if _, ok := p.Take(fmt.Sprint(n), false, time.Unix(0, 0)); ok {
					used++
				}
			}
		}

		if used != bound {
			t.Fatalf("%d services use %d places, expected %d", services, used, bound)
		}
	})
}
