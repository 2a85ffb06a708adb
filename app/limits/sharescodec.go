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
	// compressShares is the size from which the value of SharesKey is
	// compressed, in bytes. The first settlement of 340 hosts and 740
	// workspaces takes 12.6 MB of JSON; the store takes 1 MiB.
	compressThreshold = 16 << 10
	// maxSharesPlain bounds the memory to read a value, in bytes.
	maxDecompressedSize = 64 << 20
)

// zstdMagic starts each compressed value; JSON never starts with it.
var zstdMagic = []byte{0x28, 0xb5, 0x2f, 0xfd}

// sharesCoders returns the shared encoder and decoder, which are safe for
// concurrent use of EncodeAll and DecodeAll.
var zstdCoders = sync.OnceValues(func() (*zstd.Encoder, *zstd.Decoder) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		panic(err) // only wrong options fail
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDecompressedSize))
	if err != nil {
		panic(err) // only wrong options fail
	}
	return encoder, decoder
})

// EncodeShares returns the value of SharesKey: JSON, compressed if it is long.
func EncodeShares(shares escrow.Shares) ([]byte, error) {
	value, err := json.Marshal(shares)
	if err != nil {
		return nil, fmt.Errorf("encode shares: %w", err)
	}
	if len(value) >= compressThreshold {
		encoder, _ := zstdCoders()
		value = encoder.EncodeAll(value, nil)
	}
	if len(value) > store.MaxValue {
		return nil, fmt.Errorf("encode shares of epoch %d: %d bytes are more than the store takes", shares.Epoch, len(value))
	}
	return value, nil
}

// DecodeShares reads the value of SharesKey.
func DecodeShares(value []byte) (escrow.Shares, error) {
	var shares escrow.Shares
	if bytes.HasPrefix(value, zstdMagic) {
		_, decoder := zstdCoders()
		decompressed, err := decoder.DecodeAll(value, nil)
		if err != nil {
			return shares, fmt.Errorf("decompress shares: %w", err)
		}
		value = decompressed
	}
	if err := json.Unmarshal(value, &shares); err != nil {
		return shares, fmt.Errorf("parse shares: %w", err)
	}
	return shares, nil
}
