package batch

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/agategap/agategap/stream"
)

// The records of batch jobs in a keyed stream. Every key is written once, so that the newest records are the whole
// state. A codec fills the fields.

// jobRecord makes a job exist. Its key is j/JOB.
type jobRecord struct {
	Host      string `msgpack:"host"`
	Path      string `msgpack:"path"`
	Items     int    `msgpack:"items"`
	Chunks    int    `msgpack:"chunks"`
	AtMS      int64  `msgpack:"at_ms"` // acceptance, Unix milliseconds
	WithinMS  int64  `msgpack:"within_ms"`
	RetainMS  int64  `msgpack:"retain_ms"`
	Runner    string `msgpack:"runner"` // VM that runs the job while it is live
	RunnerRun int64  `msgpack:"runner_run"`
}

// itemRecord is a part of a chunk. The key of a chunk is c/JOB/NUMBER.
type itemRecord struct {
	ID     string              `msgpack:"id"`
	Path   string              `msgpack:"path"`
	Header map[string][]string `msgpack:"header"`
	Body   []byte              `msgpack:"body"`
	From   int                 `msgpack:"from"` // offset of the body's part; a large body goes on in the next chunk
	Tokens int                 `msgpack:"tokens"`
}

// resultRecord lists an item. Its key is r/JOB/POSITION.
type resultRecord struct {
	Item  string `msgpack:"item"`
	Done  bool   `msgpack:"done"`
	Text  string `msgpack:"text"`
	Parts int    `msgpack:"parts"` // records with the start of a text that exceeds one record
}

// textRecord is a part of a long text. Its key is t/JOB/POSITION/NUMBER.
type textRecord struct {
	Text string `msgpack:"text"`
}

// failRecord counts the failed runs of an item. Its key is f/JOB/ITEM, and it is the only one that is written again.
type failRecord struct {
	Runs int `msgpack:"runs"`
}

// progressRecord has events of an item that is not listed, behind those of the records before it. Its key is
// p/JOB/ITEM/NUMBER with the number of the event before.
type progressRecord struct {
	Last  int    `msgpack:"last"`  // number of the last event
	Text  string `msgpack:"text"`  // data of the events, behind a separator unless it is the first
	Chain uint64 `msgpack:"chain"` // the run that the events are of
	Onto  uint64 `msgpack:"onto"`  // the run whose events they go on from; 0 for none
}

const (
	progressPrefix = "p"

	jobPrefix    = "j"
	chunkPrefix  = "c"
	resultPrefix = "r"
	textPrefix   = "t"
	endPrefix    = "e"
	failPrefix   = "f"
	separator    = "/"
)

// recordKey returns the key of a record of a job.
func recordKey(prefix, job string, more ...string) string {
	return prefix + separator + job + strings.Join(append([]string{""}, more...), separator)
}

// parseKey splits a key. The job's identifier has no separator.
func parseKey(k string) (prefix, job, rest string) {
	prefix, k, _ = strings.Cut(k, separator)
	job, rest, _ = strings.Cut(k, separator)

	return prefix, job, rest
}

func encodeRecord(k string, v any) (stream.KeyedRecord, error) {
	b, err := msgpack.Marshal(v)
	if err != nil {
		return stream.KeyedRecord{}, fmt.Errorf("record %s: %w", k, err)
	}

	return stream.NewKeyedRecord(0, k, b), nil
}

func decodeRecord(k stream.KeyedRecord, v any) error {
	if err := msgpack.Unmarshal(k.Value(), v); err != nil {
		return fmt.Errorf("record %s: %w", k.Key(), err)
	}

	return nil
}

func parseNumber(s string) (int, bool) {
	n, err := strconv.Atoi(s)

	return n, err == nil && n >= 0
}
