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

// generation is the state of one request. The engine's lock guards all but the tokens.
type generation struct {
	id        string
	prompt    string
	naturalTokens    int
	maxTokens     int
	cancelled bool
	silenceEpoch   int

	mu      sync.Mutex
	tokens  int
	readers int
	detachedAt    time.Time
	changed chan struct{}
}

func newGeneration(id, prompt string, limit int) *generation {
	g := &generation{id: id, prompt: prompt, naturalTokens: naturalLength(prompt), maxTokens: limit, changed: make(chan struct{})}
	g.detachedAt = time.Now()

	return g
}

var lengthPattern = regexp.MustCompile(`tokens=(\d+)`)

// naturalLength returns the length of the answer to a prompt: the number in "tokens=N", or one from its hash.
func naturalLength(prompt string) int {
	if m := lengthPattern.FindStringSubmatch(prompt); m != nil {
		n, _ := strconv.Atoi(m[1])

		return max(1, n)
	}

	const least, spread = 8, 24

	return least + int(xxhash.Sum64String(prompt)%spread)
}

var vocabulary = strings.Fields("level bay open full left right follow ramp exit north south east west two three four please use next free sign")

// tokenText returns token i of the answer to a prompt. The answer to a prompt is always the same, so that tests can
// compare resumed streams token by token.
func tokenText(prompt string, i int) string {
	n := xxhash.Sum64String(fmt.Sprintf("%s/%d", prompt, i))
	w := vocabulary[n%uint64(len(vocabulary))]

	if i == 0 {
		return w
	}

	return " " + w
}

// CompletionText returns the whole text that the engine generates for a prompt, at most limit tokens; 0 means no limit.
func CompletionText(prompt string, limit int) string {
	g := newGeneration("", prompt, limit)

	var b strings.Builder
	for i := range g.totalTokens() {
		b.WriteString(tokenText(prompt, i))
	}

	return b.String()
}

// totalTokens returns the number of tokens of the whole answer.
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

// kvTokens returns the tokens that the stream holds in the KV cache.
func (g *generation) kvTokens() int { return promptTokens(g.prompt) + g.tokenCount() }

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

// progress returns the number of tokens and a channel that is closed at the next one.
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

// isAbandoned reports whether nobody has read the stream for d.
func (g *generation) isAbandoned(now time.Time, d time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.readers == 0 && now.Sub(g.detachedAt) > d
}
