package filter

import (
	"strings"

	"github.com/agategap/agategap/journal"
)

// Collector is a sink that collects a response. The zero value is ready to use. It is not safe for concurrent use.
type Collector struct {
	head   Event
	end    Event
	data   []byte
	text   strings.Builder
	events []Event
}

// Emit adds an event.
func (b *Collector) Emit(e Event) error {
	if e.Kind() == Head && b.head.Kind() == Head {
		return nil // a resumed response has a second head
	}

	b.events = append(b.events, e)

	switch e.Kind() {
	case Head:
		b.head = e
	case Chunk:
		b.data = append(b.data, e.Data()...)
		b.text.WriteString(e.Text())
	case End:
		b.end = e
	}

	return nil
}

// Complete returns the record of the collected response, without its account, key and claim. The record has the body
// only if the response has no generated text.
func (b *Collector) Complete() journal.CompleteRecord {
	c := journal.CompleteRecord{
		Effect:      journal.Done,
		Status:      b.head.Status(),
		ContentType: b.head.ContentType(),
		Text:        b.text.String(),
		Finish:      b.end.FinishReason(),
		Prompt:      b.end.PromptTokens(),
		Completion:  b.end.CompletionTokens(),
	}

	if c.Text == "" {
		c.Body = b.data
	}

	return c
}

// flush emits the collected events to s.
func (b *Collector) flush(s Sink) error {
	for _, e := range b.events {
		if err := s.Emit(e); err != nil {
			return err
		}
	}

	return nil
}
