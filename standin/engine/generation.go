package engine

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// generation is the state of one completion request. The engine's lock guards cancelled and silenceEpoch, and mu guards
// the fields below it. The other fields are constant.
type generation struct {
	id            string
	prompt        string
	naturalTokens int // tokens of the completion without maxTokens
	maxTokens     int // requested bound on the tokens; 0 for none
	cancelled     bool
	silenceEpoch  int // silence epoch of the engine at the start or the last resumption

	mu         sync.Mutex
	tokens     int           // number of tokens generated so far
	readers    int           // number of responses that are sending the tokens
	detachedAt time.Time     // when the last reader detached; the start if there was none
	changed    chan struct{} // closed and replaced with each new token
}

func newGeneration(id, prompt string, maxTokens int) *generation {
	g := &generation{id: id, prompt: prompt, naturalTokens: naturalLength(prompt), maxTokens: maxTokens, changed: make(chan struct{})}
	g.detachedAt = time.Now()

	return g
}

var lengthPattern = regexp.MustCompile(`tokens=(\d+)`)

// naturalLength returns the number of tokens of the completion of a prompt: N, but at least 1, if the prompt contains
// "tokens=N", otherwise a number from 8 to 31 that is derived from its hash.
func naturalLength(prompt string) int {
	if m := lengthPattern.FindStringSubmatch(prompt); m != nil {
		n, _ := strconv.Atoi(m[1])

		return max(1, n)
	}

	const minLength, lengthCount = 8, 24

	return minLength + int(xxhash.Sum64String(prompt)%lengthCount)
}

var vocabulary = strings.Fields("level bay open full left right follow ramp exit north south east west two three four please use next free sign")

// tokenText returns the text of token i of the completion of a prompt. A prompt always has the same completion, so that
// tests can compare resumed streams token by token.
func tokenText(prompt string, i int) string {
	n := xxhash.Sum64String(fmt.Sprintf("%s/%d", prompt, i))
	w := vocabulary[n%uint64(len(vocabulary))]

	if i == 0 {
		return w
	}

	return " " + w
}

// CompletionText returns the whole text that the engine generates for a prompt. It has at most maxTokens tokens; 0
// means no limit.
func CompletionText(prompt string, maxTokens int) string {
	g := newGeneration("", prompt, maxTokens)

	var b strings.Builder
	for i := range g.totalTokens() {
		b.WriteString(tokenText(prompt, i))
	}

	return b.String()
}

// totalTokens returns the number of tokens of the whole completion, bounded by maxTokens.
func (g *generation) totalTokens() int {
	if g.maxTokens > 0 {
		return min(g.maxTokens, g.naturalTokens)
	}

	return g.naturalTokens
}

func (g *generation) finishReason() string {
	if g.maxTokens > 0 && g.maxTokens < g.naturalTokens {
		return "length"
	}

	return "stop"
}

// kvTokens returns the number of tokens that the generation occupies in the KV cache.
func (g *generation) kvTokens() int { return promptTokens(g.prompt) + g.tokenCount() }

// promptTokens estimates the number of tokens of a prompt.
func promptTokens(p string) int {
	const bytesPerToken = 4

	return 1 + len(p)/bytesPerToken
}

func (g *generation) tokenCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.tokens
}

func (g *generation) isFinished() bool { return g.tokenCount() >= g.totalTokens() }

func (g *generation) addToken() {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.tokens++
	close(g.changed)
	g.changed = make(chan struct{})
}

// progress returns the number of tokens so far and a channel that is closed when the next one is generated.
func (g *generation) progress() (int, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.tokens, g.changed
}

func (g *generation) attach() {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.readers++
}

func (g *generation) detach() {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.readers--
	g.detachedAt = time.Now()
}

// isAbandoned reports whether the generation has had no reader for longer than the timeout.
func (g *generation) isAbandoned(now time.Time, timeout time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.readers == 0 && now.Sub(g.detachedAt) > timeout
}
