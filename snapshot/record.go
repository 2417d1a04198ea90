package snapshot

import "github.com/agategap/agategap/journal"

// Part is one record of a snapshot stream: sections of a partition's state, or the closing record. It is a wire
// message: a codec fills its fields.
type Part struct {
	ID       string            `msgpack:"id"`       // identifier of the snapshot, unique
	Offset   int64             `msgpack:"offset"`   // offset of the partition that the state is of
	Index    int               `msgpack:"index"`    // from 0
	Sections []journal.Section `msgpack:"sections"` // in order
	Closing  bool              `msgpack:"closing"`  // the last record; Index is the number of parts before it
}
