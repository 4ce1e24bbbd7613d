package delta

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
)

const (
	// dictionaryID identifies the base within an encoding; encoder and decoder only need to agree on it.
	dictionaryID = 1
	// minBaseBytes is the shortest dictionary that zstd accepts.
	minBaseBytes = 8
	minWindow    = 1 << 10
)

// Checksum returns the checksum of a document, by which a receiver verifies what it has decoded.
func Checksum(document []byte) uint64 { return xxhash.Sum64(document) }

// Encode encodes a document for a receiver that has base; base may be empty. It returns ErrEncode if the encoder cannot be set up.
func Encode(base, document []byte) ([]byte, error) {
	// The window must reach from the end of the document back to the start of the base.
	window := max(minWindow, 1<<bits.Len(uint(len(base)+len(document))))
	options := []zstd.EOption{
		zstd.WithEncoderLevel(zstd.SpeedBetterCompression), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(min(window, zstd.MaxWindowSize)),
	}
	if len(base) >= minBaseBytes {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, ErrEncode{Cause: err}
	}
	return encoder.EncodeAll(document, nil), nil
}

// Decode returns the document that Encode encoded for a receiver that has base. It returns ErrDecode if the encoding is invalid, the
// document is longer than maxBytes, or its checksum differs, as with another base.
func Decode(base, encoded []byte, checksum, maxBytes uint64) ([]byte, error) {
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxBytes)}
	if len(base) >= minBaseBytes {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, ErrDecode{Reason: "the decoder cannot be set up", Cause: err}
	}
	defer decoder.Close()
	document, err := decoder.DecodeAll(encoded, nil)
	if err != nil {
		return nil, ErrDecode{Reason: "the encoding is invalid", Cause: err}
	}
	if Checksum(document) != checksum {
		return nil, ErrDecode{Reason: "the checksum differs"}
	}
	return document, nil
}
