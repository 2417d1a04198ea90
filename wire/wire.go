// Package wire encodes the messages between daemons and the records that they append to the log. A message is a format
// byte followed by msgpack, which is compressed with zstd from minCompressBytes on. All functions and codecs are safe
// for concurrent use.
package wire

import (
	"bytes"
	"fmt"
	"sync"

	"github.com/klauspost/compress/zstd"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/agategap/agategap/config"
	"github.com/agategap/agategap/journal"
	"github.com/agategap/agategap/snapshot"
	"github.com/agategap/agategap/stream"
)

// MaxMessageBytes bounds the size of a decoded message, so that a small compressed input cannot exhaust the memory.
const MaxMessageBytes = 32 << 20

// Format bytes.
const (
	formatPlain byte = 1
	formatZstd  byte = 2
)

// minCompressBytes is the size from which the bytes saved by compression outweigh its time.
const minCompressBytes = 512

var (
	encoder = sync.OnceValues(func() (*zstd.Encoder, error) {
		return zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1))
	})
	decoder = sync.OnceValues(func() (*zstd.Decoder, error) {
		return zstd.NewReader(nil, zstd.WithDecoderMaxMemory(MaxMessageBytes), zstd.WithDecoderConcurrency(0))
	})
)

// GroupCodec encodes and decodes journal groups. The zero value is ready to use.
type GroupCodec struct{}

// Encode returns the bytes of a group.
func (GroupCodec) Encode(g journal.Group) ([]byte, error) { return Marshal(g) }

// Decode returns the group that is encoded in b.
func (GroupCodec) Decode(b []byte) (journal.Group, error) {
	var g journal.Group

	return g, Unmarshal(b, &g)
}

// VersionCodec encodes and decodes configuration versions. The zero value is ready to use.
type VersionCodec struct{}

// EncodeVersion returns the bytes of a version.
func (VersionCodec) EncodeVersion(v config.Version) ([]byte, error) { return Marshal(v) }

// DecodeVersion returns the version that is encoded in b.
func (VersionCodec) DecodeVersion(b []byte) (config.Version, error) {
	var v config.Version

	return v, Unmarshal(b, &v)
}

// PartCodec encodes and decodes parts of snapshots. The zero value is ready to use.
type PartCodec struct{}

// EncodePart returns the bytes of a part.
func (PartCodec) EncodePart(p snapshot.Part) ([]byte, error) { return Marshal(p) }

// DecodePart returns the part that is encoded in b.
func (PartCodec) DecodePart(b []byte) (snapshot.Part, error) {
	var p snapshot.Part

	return p, Unmarshal(b, &p)
}

// Marshal returns v as a message. The error is a stream.ErrTooLarge if the msgpack of v has MaxMessageBytes or more.
func Marshal(v any) ([]byte, error) {
	b, err := msgpack.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode: %w", err)
	}

	// Readers reject a larger message, so the records of a larger group in the log would have no effect.
	if len(b) >= MaxMessageBytes {
		return nil, fmt.Errorf("%w: %d bytes, the limit is %d", stream.ErrTooLarge, len(b), MaxMessageBytes)
	}

	if len(b) < minCompressBytes {
		return append([]byte{formatPlain}, b...), nil
	}

	z, err := encoder()
	if err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}

	return z.EncodeAll(b, []byte{formatZstd}), nil
}

// Unmarshal decodes message b into v, a pointer. It rejects unknown formats, trailing bytes and messages above
// MaxMessageBytes.
func Unmarshal(b []byte, v any) error {
	if len(b) == 0 {
		return fmt.Errorf("decode: empty message")
	}

	p, err := decodePayload(b)
	if err != nil {
		return err
	}

	r := bytes.NewReader(p)
	if err := msgpack.NewDecoder(r).Decode(v); err != nil {
		return fmt.Errorf("decode: %w", err)
	}

	if r.Len() > 0 {
		return fmt.Errorf("decode: %d trailing bytes after the message", r.Len())
	}

	return nil
}

func decodePayload(b []byte) ([]byte, error) {
	switch b[0] {
	case formatPlain:
		if len(b) > MaxMessageBytes {
			return nil, fmt.Errorf("decode: message has %d bytes, the limit is %d", len(b), MaxMessageBytes)
		}

		return b[1:], nil
	case formatZstd:
		z, err := decoder()
		if err != nil {
			return nil, fmt.Errorf("decompress: %w", err)
		}

		p, err := z.DecodeAll(b[1:], nil)
		if err != nil {
			return nil, fmt.Errorf("decompress: %w", err)
		}

		return p, nil
	default:
		return nil, fmt.Errorf("decode: unknown format %d", b[0])
	}
}
