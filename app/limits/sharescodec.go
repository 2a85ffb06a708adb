package limits

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sync"

	"github.com/klauspost/compress/zstd"

	"mimosarelay/core/escrow"
	"mimosarelay/core/store"
)

const (
	// compressThreshold is the size from which the value of SharesKey is
	// compressed, in bytes. The first settlement of 340 hosts and 740
	// workspaces is 12.6 MB of JSON, while the store accepts at most 1 MiB.
	compressThreshold = 16 << 10
	// maxDecompressedSize bounds the memory used to decompress a value, in
	// bytes.
	maxDecompressedSize = 64 << 20
)

// zstdMagic is the magic number at the start of zstd frames. No JSON text starts
// with it, so it distinguishes compressed values.
var zstdMagic = []byte{0x28, 0xb5, 0x2f, 0xfd}

// zstdCoders returns the shared encoder and decoder. Their methods EncodeAll and
// DecodeAll are safe for concurrent use.
var zstdCoders = sync.OnceValues(func() (*zstd.Encoder, *zstd.Decoder) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		panic(err) // fails only on invalid options
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDecompressedSize))
	if err != nil {
		panic(err) // fails only on invalid options
	}
	return encoder, decoder
})

// EncodeShares returns the value of SharesKey: JSON, compressed with zstd if it has
// at least compressThreshold bytes.
func EncodeShares(shares escrow.Shares) ([]byte, error) {
	value, err := json.Marshal(shares)
	if err != nil {
		return nil, fmt.Errorf("encode settlement rounds of epoch %d: %w", shares.Epoch, err)
	}
	if len(value) >= compressThreshold {
		encoder, _ := zstdCoders()
		value = encoder.EncodeAll(value, nil)
	}
	if len(value) > store.MaxValue {
		return nil, fmt.Errorf("encode settlement rounds of epoch %d: value of %d bytes exceeds the maximum of the store", shares.Epoch, len(value))
	}
	return value, nil
}

// DecodeShares parses the value of SharesKey, compressed or not.
func DecodeShares(value []byte) (escrow.Shares, error) {
	var shares escrow.Shares
	if bytes.HasPrefix(value, zstdMagic) {
		_, decoder := zstdCoders()
		decompressed, err := decoder.DecodeAll(value, nil)
		if err != nil {
			return shares, fmt.Errorf("decompress settlement rounds: %w", err)
		}
		value = decompressed
	}
	if err := json.Unmarshal(value, &shares); err != nil {
		return shares, fmt.Errorf("parse settlement rounds: %w", err)
	}
	return shares, nil
}
