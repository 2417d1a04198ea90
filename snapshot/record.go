package snapshot

import "github.com/agategap/agategap/journal"

// Part is one record of a snapshot stream: some sections of a partition's state, or the closing record. Its fields are
// exported for the codec.
type Part struct {
	ID       string            `msgpack:"id"`       // unique identifier of the snapshot
	Offset   int64             `msgpack:"offset"`   // partition's offset at which the snapshot was taken
	Index    int               `msgpack:"index"`    // index of the part, from 0
	Sections []journal.Section `msgpack:"sections"` // in the order of journal.Partition.Snapshot
	Closing  bool              `msgpack:"closing"`  // the last record; Index is the number of parts before it
}
