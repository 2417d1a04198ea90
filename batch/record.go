package batch

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/agategap/agategap/stream"
)

// The records of batch jobs in a keyed stream. No state is spread over several records of one key, so that the newest
// record of each key is enough to restore it. The msgpack codec sets the fields.

// jobRecord creates a job. Its key is j/JOB.
type jobRecord struct {
	Host      string `msgpack:"host"`
	Path      string `msgpack:"path"`
	Items     int    `msgpack:"items"`
	Chunks    int    `msgpack:"chunks"`
	AtMS      int64  `msgpack:"at_ms"`      // time of acceptance, Unix milliseconds
	WithinMS  int64  `msgpack:"within_ms"`  // from acceptance until all results are due
	RetainMS  int64  `msgpack:"retain_ms"`  // from acceptance until items without a result may be failed
	Runner    string `msgpack:"runner"`     // VM of the daemon that runs the job while it is live
	RunnerRun int64  `msgpack:"runner_run"` // start of that daemon process, Unix milliseconds
}

// itemRecord is an item, or a part of one, in a chunk. The key of a chunk is c/JOB/NUMBER.
type itemRecord struct {
	ID     string              `msgpack:"id"`
	Path   string              `msgpack:"path"`
	Header map[string][]string `msgpack:"header"`
	Body   []byte              `msgpack:"body"`
	From   int                 `msgpack:"from"` // offset of Body; a large body continues in the next chunk
	Tokens int                 `msgpack:"tokens"`
}

// resultRecord publishes the result of an item. Its key is r/JOB/POSITION.
type resultRecord struct {
	Item  string `msgpack:"item"`
	Done  bool   `msgpack:"done"`  // the item was completed; otherwise it failed
	Text  string `msgpack:"text"`  // last part of the text
	Parts int    `msgpack:"parts"` // number of text records with the parts before, if the text exceeds one record
}

// textRecord is a part of a long text. Its key is t/JOB/POSITION/NUMBER.
type textRecord struct {
	Text string `msgpack:"text"`
}

// failureRecord holds the number of failed attempts of an item. Its key is f/JOB/ITEM, the only key whose record is
// replaced by new state. The records of other keys are written once, apart from tombstones and the replacement of
// chunks by ones without bodies.
type failureRecord struct {
	Runs int `msgpack:"runs"`
}

// progressRecord holds events of an item without a result, which follow those of the item's earlier records. Its key is
// p/JOB/ITEM/NUMBER, where NUMBER is the number of the event before them.
type progressRecord struct {
	Last  int    `msgpack:"last"`  // number of the last event
	Text  string `msgpack:"text"`  // data of the events; a line feed precedes each but the first of the item
	Chain uint64 `msgpack:"chain"` // run that generated the events
	Onto  uint64 `msgpack:"onto"`  // run of the event before them: Chain or its parent run; 0 for none
}

const (
	progressPrefix = "p"

	jobPrefix     = "j"
	chunkPrefix   = "c"
	resultPrefix  = "r"
	textPrefix    = "t"
	endPrefix     = "e" // of the empty record that ends a job, with the key e/JOB
	failurePrefix = "f"
	separator     = "/"
)

// recordKey joins a prefix, a job identifier and further parts into the key of a record.
func recordKey(prefix, jobID string, more ...string) string {
	return prefix + separator + jobID + strings.Join(append([]string{""}, more...), separator)
}

// parseKey splits a key. Job identifiers contain no separator; rest may.
func parseKey(k string) (prefix, jobID, rest string) {
	prefix, k, _ = strings.Cut(k, separator)
	jobID, rest, _ = strings.Cut(k, separator)

	return prefix, jobID, rest
}

func encodeRecord(k string, v any) (stream.KeyedRecord, error) {
	b, err := msgpack.Marshal(v)
	if err != nil {
		return stream.KeyedRecord{}, fmt.Errorf("encode record %s: %w", k, err)
	}

	return stream.NewKeyedRecord(0, k, b), nil
}

func decodeRecord(k stream.KeyedRecord, v any) error {
	if err := msgpack.Unmarshal(k.Value(), v); err != nil {
		return fmt.Errorf("decode record %s: %w", k.Key(), err)
	}

	return nil
}

// parseNumber parses a number in a key, which must not be negative.
func parseNumber(s string) (int, bool) {
	n, err := strconv.Atoi(s)

	return n, err == nil && n >= 0
}
