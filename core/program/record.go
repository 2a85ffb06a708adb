package program

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"

	"mimosarelay/core/model"
)

// A record consists of a format byte, a flag byte, the xxhash64 checksum of the
// body (8 bytes, big endian) and the body: JSON, compressed with zstd if the
// flag is flagZstd.
const (
	recordFormat     = 1
	flagPlain        = 0
	flagZstd         = 1
	recordHeaderSize = 10

	// compressionThreshold is the size in bytes above which a body is compressed.
	compressionThreshold = 1 << 10
	// maxPartSize bounds the bytes of content in one record. With base64 and the
	// header, a record stays below the store's limit of 1 MiB per value.
	maxPartSize = 256 << 10
	// maxDecodedSize bounds the bytes of a body after decompression.
	maxDecodedSize = 64 << 20
)

// ErrBadRecord is returned for data that is not a valid record.
var ErrBadRecord = errors.New("invalid program record")

var (
	zstdEncoder, _ = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	zstdDecoder, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(0), zstd.WithDecoderMaxMemory(maxDecodedSize))
)

// ID identifies a record. The head has Part 0 and an empty Content.
type ID struct {
	Root    model.ProgramKey
	Content ContentID
	Part    int // from 1 for content
}

// IsHead reports whether the id is that of the head of its tree.
func (i ID) IsHead() bool { return i.Part == 0 }

// Record is an encoded part of a tree: the head, which holds everything except
// content, or one part of the content of a done call. Content is immutable and
// written only once, so that the cost of a commit does not grow with the length
// of the history.
type Record struct {
	ID      ID
	Version Version
	Data    []byte
	Expiry  time.Time // set by Identify for a head; see Tree.Expiry
}

// payload is the body of a record. Exactly one field is set.
type payload struct {
	Head *Tree `json:",omitempty"`
	Part *part `json:",omitempty"`
}

// part is a part of the encoded content of one done call.
type part struct {
	ID      ID
	Version Version
	Data    []byte
}

// Head encodes the tree without the content of its calls.
func (t *Tree) Head() (Record, error) {
	data, err := encodeRecord(payload{Head: t})
	return Record{ID: ID{Root: t.Root}, Version: t.Version, Data: data}, err
}

// Contents encodes the content of one done call. Seal must have been called for
// it before.
func (t *Tree) Contents(id ContentID) ([]Record, error) {
	c, err := t.Get(id.Program, id.Call)
	if err != nil {
		return nil, err
	}
	body := t.contents[id].encode()
	var out []Record
	for i := 1; i <= c.Parts; i++ {
		n := min(len(body), maxPartSize)
		p := &part{
			ID:      ID{Root: t.Root, Content: id, Part: i},
			Version: c.Written,
			Data:    body[:n],
		}
		body = body[n:]
		data, err := encodeRecord(payload{Part: p})
		if err != nil {
			return nil, err
		}
		out = append(out, Record{ID: p.ID, Version: p.Version, Data: data})
	}
	return out, nil
}

// Seal sets the version and the number of parts of a done call's content.
func (t *Tree) Seal(id ContentID) error {
	c, err := t.Get(id.Program, id.Call)
	if err != nil {
		return err
	}
	c.Written = t.Version
	size := len(t.contents[id].encode())
	c.Parts = (size + maxPartSize - 1) / maxPartSize
	return nil
}

// encode writes the length of the messages as a uvarint, the messages and the
// answer.
func (c Content) encode() []byte {
	out := binary.AppendUvarint(nil, uint64(len(c.Messages)))
	out = append(out, c.Messages...)
	return append(out, c.Answer...)
}

func decodeContent(data []byte) (Content, error) {
	n, k := binary.Uvarint(data)
	if k <= 0 || n > uint64(len(data)-k) {
		return Content{}, fmt.Errorf("%w: length of the messages exceeds the content", ErrBadRecord)
	}
	data = data[k:]
	return Content{Messages: data[:n:n], Answer: data[n:]}, nil
}

func encodeRecord(p payload) ([]byte, error) {
	body, err := json.Marshal(p)
	if err != nil {
		return nil, fmt.Errorf("encode program record: %w", err)
	}
	flag := byte(flagPlain)
	if len(body) > compressionThreshold {
		flag = flagZstd
		body = zstdEncoder.EncodeAll(body, nil)
	}
	out := make([]byte, recordHeaderSize, recordHeaderSize+len(body))
	out[0] = recordFormat
	out[1] = flag
	binary.BigEndian.PutUint64(out[2:], xxhash.Sum64(body))
	return append(out, body...), nil
}

// decodeRecord decodes a record and validates its head or part.
func decodeRecord(data []byte) (payload, error) {
	var p payload
	if len(data) < recordHeaderSize || data[0] != recordFormat || data[1] > flagZstd {
		return p, fmt.Errorf("%w: unknown format or flag", ErrBadRecord)
	}
	body := data[recordHeaderSize:]
	if xxhash.Sum64(body) != binary.BigEndian.Uint64(data[2:]) {
		return p, fmt.Errorf("%w: checksum does not match", ErrBadRecord)
	}
	if data[1] == flagZstd {
		var err error
		if body, err = zstdDecoder.DecodeAll(body, nil); err != nil {
			return p, fmt.Errorf("%w: decompress body: %w", ErrBadRecord, err)
		}
	}
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(&p); err != nil {
		return p, fmt.Errorf("%w: decode body: %w", ErrBadRecord, err)
	}
	if d.More() || (p.Head == nil) == (p.Part == nil) {
		return p, fmt.Errorf("%w: body does not hold exactly one head or part", ErrBadRecord)
	}
	if p.Head != nil {
		return p, p.Head.validate()
	}
	return p, p.Part.validate()
}

func (p *part) validate() error {
	if p.ID.Part < 1 || p.ID.Content.Call == 0 || p.Version == 0 || len(p.Data) > maxPartSize {
		return fmt.Errorf("%w: part %d of call %d of program %q is invalid",
			ErrBadRecord, p.ID.Part, p.ID.Content.Call, p.ID.Content.Program)
	}
	return nil
}

// validate checks the token sums and the order of the calls of a decoded head.
func (t *Tree) validate() error {
	if t.Version == 0 || t.Root.Workspace == "" || t.Root.Program == "" {
		return fmt.Errorf("%w: head has version %d, workspace %q and program %q",
			ErrBadRecord, t.Version, t.Root.Workspace, t.Root.Program)
	}
	var reserved, used model.Tokens
	for id, p := range t.Programs {
		if p == nil {
			return fmt.Errorf("%w: program %q is null", ErrBadRecord, id)
		}
		for n := model.CallNumber(1); int(n) <= len(p.Calls); n++ {
			c := p.Calls[n]
			if err := c.validate(n, int(n) == len(p.Calls)); err != nil {
				return fmt.Errorf("program %q: %w", id, err)
			}
			reserved += c.Reserved
			used += c.Used
		}
	}
	// t.Used also counts the lost attempts of idempotent calls, so that it may
	// exceed the sum.
	if reserved != t.Reserved || used > t.Used {
		return fmt.Errorf(
			"%w: calls in the tree of program %q reserve %d and used %d tokens, but the head says %d and %d",
			ErrBadRecord, t.Root.Program, reserved, used, t.Reserved, t.Used)
	}
	return nil
}

// validate checks the state of call n. Only the last call of a program may be
// open.
func (c *Call) validate(n model.CallNumber, last bool) error {
	if c == nil || c.Number != n {
		return fmt.Errorf("%w: call %d is missing", ErrBadRecord, n)
	}
	switch c.State {
	case Done, Failed, Unknown:
	case Admitted, Started:
		if !last {
			return fmt.Errorf("%w: call %d has not ended but is not the last", ErrBadRecord, n)
		}
	default:
		return fmt.Errorf("%w: call %d has state %q", ErrBadRecord, n, c.State)
	}
	if c.Reserved < 0 || c.Used < 0 {
		return fmt.Errorf("%w: call %d has a negative number of tokens", ErrBadRecord, n)
	}
	return nil
}

// Identify decodes and validates a record and returns it with its id and
// version.
func Identify(data []byte) (Record, error) {
	p, err := decodeRecord(data)
	if err != nil {
		return Record{}, err
	}
	if p.Head != nil {
		return Record{ID: ID{Root: p.Head.Root}, Version: p.Head.Version, Data: data, Expiry: p.Head.Expiry()}, nil
	}
	return Record{ID: p.Part.ID, Version: p.Part.Version, Data: data}, nil
}

// Newer reports whether r is newer than old, a record with the same id.
func (r Record) Newer(old Record) bool { return r.Version > old.Version }

// ErrIncomplete is returned if a content record that the head refers to is
// missing or has another version.
var ErrIncomplete = errors.New("content of a finished call is missing")

// Assemble builds a tree from its newest head and its content records, which
// find looks up by id.
func Assemble(head Record, find func(ID) (Record, bool)) (*Tree, error) {
	p, err := decodeRecord(head.Data)
	if err != nil {
		return nil, err
	}
	if p.Head == nil {
		return nil, fmt.Errorf("%w: record of program %q is not a head", ErrBadRecord, head.ID.Root.Program)
	}
	t := p.Head
	t.contents = map[ContentID]Content{}
	if t.Programs == nil {
		t.Programs = map[model.ProgramID]*Program{}
	}
	for pid, pr := range t.Programs {
		for n, c := range pr.Calls {
			if c.State != Done {
				continue
			}
			id := ContentID{pid, n}
			if t.contents[id], err = t.assembleContent(id, c, find); err != nil {
				return nil, err
			}
		}
	}
	return t, nil
}

// assembleContent joins the parts of the content of one done call.
func (t *Tree) assembleContent(id ContentID, c *Call, find func(ID) (Record, bool)) (Content, error) {
	var body []byte
	for i := 1; i <= c.Parts; i++ {
		r, ok := find(ID{Root: t.Root, Content: id, Part: i})
		if !ok || r.Version != c.Written {
			return Content{}, fmt.Errorf("program %q call %d part %d: %w", id.Program, id.Call, i, ErrIncomplete)
		}
		p, err := decodeRecord(r.Data)
		if err != nil {
			return Content{}, err
		}
		if p.Part == nil {
			return Content{}, fmt.Errorf("%w: record of program %q call %d part %d is not content",
				ErrBadRecord, id.Program, id.Call, i)
		}
		body = append(body, p.Part.Data...)
	}
	return decodeContent(body)
}
