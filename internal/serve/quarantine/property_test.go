package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/agategap/agategap/internal/serve/quarantine"
)

// Guards against prompts that are rejected although all of their parts are known to be sound, whatever crashes and
// quarantines of other daemons came before.
func TestSoundPromptsAreNeverRejected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &quarantine.Registry{}
		now := start
		soundAt := map[string]time.Time{}
		part := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"})
		count := 0

		// newPrompt draws the shared parts of a prompt, whose own part is used once.
		newPrompt := func() ([]string, quarantine.Prompt) {
			count++

			l := rapid.SliceOfNDistinct(part, 1, 3, rapid.ID[string]).Draw(t, "parts")

			return l, prompt(append(l[:len(l):len(l)], fmt.Sprint("own", count))...)
		}

		t.Repeat(map[string]func(*rapid.T){
			"sound": func(t *rapid.T) {
				l, p := newPrompt()
				r.MarkSound(p, now)

				for _, id := range l {
					soundAt[id] = now
				}

				if e, ok := r.Find(p, now); ok {
					t.Fatalf("%v is rejected because of %s right after a response to it began", l, e)
				}
			},
			"crash": func(t *rapid.T) {
				_, p := newPrompt()
				r.AddCrash(p, crashOf(fmt.Sprint("t", rapid.IntRange(0, 5).Draw(t, "target"))), now)
			},
			"import": func(t *rapid.T) {
				l, _ := newPrompt()
				r.Import(quarantine.NewEntry("s", l, time.Duration(rapid.IntRange(0, 600).Draw(t, "seconds"))*time.Second).WithHistory(3, 0, 0), now)
			},
			"admit": func(_ *rapid.T) {
				_, p := newPrompt()
				r.Admit(p, quarantine.NewApplicant(fmt.Sprint("r", count), ""), now)
			},
			"wait": func(t *rapid.T) { now = now.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "seconds")) * time.Second) },
			"": func(t *rapid.T) {
				var sound []string

				for _, id := range []string{"a", "b", "c", "d", "e"} {
					if at, ok := soundAt[id]; ok && now.Sub(at) < 55*time.Second {
						sound = append(sound, id)
					}
				}

				if e, ok := r.Find(prompt(append(sound, "unused")...), now); ok {
					t.Fatalf("sound parts %v are rejected because of %s", sound, e)
				}
			},
		})
	})
}
