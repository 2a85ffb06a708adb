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

// Layout of a record: format byte, flag byte, xxhash64 of the rest (8 bytes,
// big endian), then JSON, compressed if the flag is set.
const (
	recordFormat   = 1
	flagPlain      = 0
	flagZstd       = 1
	recordHeader   = 10
	compressAbove  = 1 << 10   // bytes
	maxPart        = 256 << 10 // bytes of content in one record; base64 and header stay below the store's 1 MiB value
	maxRecordPlain = 64 << 20  // bytes after decompression
)

// ErrBadRecord reports bytes that are not a valid record.
var ErrBadRecord = errors.New("invalid program record")

var (
	encoder, _ = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	decoder, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(0), zstd.WithDecoderMaxMemory(maxRecordPlain))
)

// ID names a record. Number 0 of Part and an empty content id name the head.
type ID struct {
	Root    model.ProgramKey
	Content ContentID
	Part    int // 1-based for content
}

// IsHead reports whether the id names the head of its tree.
func (i ID) IsHead() bool { return i.Part == 0 }

// Record is one encoded piece of a tree: the head, which holds everything but
// content, or one part of the content of a done call. Content is immutable and
// written once, so that the cost of a commit does not grow with the history.
type Record struct {
	ID      ID
	Version Version
	Data    []byte
	Expiry  time.Time // of a head that Identify returned; see Tree.Expiry
}

type payload struct {
	Head *Tree `json:",omitempty"`
	Part *part `json:",omitempty"`
}

type part struct {
	ID      ID
	Version Version
	Data    []byte
}

// Head encodes the state without content.
func (t *Tree) Head() (Record, error) {
	data, err := encode(payload{Head: t})
	return Record{ID: ID{Root: t.Root}, Version: t.Version, Data: data}, err
}

// Contents encodes the content of one done call. The caller must have set the
// call's Written version and Parts by Seal.
func (t *Tree) Contents(id ContentID) ([]Record, error) {
	c, err := t.Get(id.Program, id.Call)
	if err != nil {
		return nil, err
	}
	body := t.contents[id].join()
	var out []Record
	for i := 1; i <= c.Parts; i++ {
		n := min(len(body), maxPart)
		p := &part{
			ID:      ID{Root: t.Root, Content: id, Part: i},
			Version: c.Written,
			Data:    body[:n],
		}
		body = body[n:]
		data, err := encode(payload{Part: p})
		if err != nil {
			return nil, err
		}
		out = append(out, Record{ID: p.ID, Version: p.Version, Data: data})
	}
	return out, nil
}

// Seal fixes the version and the number of parts of a done call's content.
func (t *Tree) Seal(id ContentID) error {
	c, err := t.Get(id.Program, id.Call)
	if err != nil {
		return err
	}
	c.Written = t.Version
	size := len(t.contents[id].join())
	c.Parts = (size + maxPart - 1) / maxPart
	return nil
}

func (c Content) join() []byte {
	out := binary.AppendUvarint(nil, uint64(len(c.Messages)))
	out = append(out, c.Messages...)
	return append(out, c.Answer...)
}

func splitContent(b []byte) (Content, error) {
	n, k := binary.Uvarint(b)
	if k <= 0 || n > uint64(len(b)-k) {
		return Content{}, fmt.Errorf("%w: content lengths do not match", ErrBadRecord)
	}
	b = b[k:]
	return Content{Messages: b[:n:n], Answer: b[n:]}, nil
}

func encode(p payload) ([]byte, error) {
	body, err := json.Marshal(p)
	if err != nil {
		return nil, fmt.Errorf("encode program record: %w", err)
	}
	flag := byte(flagPlain)
	if len(body) > compressAbove {
		flag = flagZstd
		body = encoder.EncodeAll(body, nil)
	}
	out := make([]byte, recordHeader, recordHeader+len(body))
	out[0] = recordFormat
	out[1] = flag
	binary.BigEndian.PutUint64(out[2:], xxhash.Sum64(body))
	return append(out, body...), nil
}

func decode(data []byte) (payload, error) {
	var p payload
	if len(data) < recordHeader || data[0] != recordFormat || data[1] > flagZstd {
		return p, fmt.Errorf("%w: unknown format", ErrBadRecord)
	}
	body := data[recordHeader:]
	if xxhash.Sum64(body) != binary.BigEndian.Uint64(data[2:]) {
		return p, fmt.Errorf("%w: checksum does not match", ErrBadRecord)
	}
	if data[1] == flagZstd {
		var err error
		if body, err = decoder.DecodeAll(body, nil); err != nil {
			return p, fmt.Errorf("%w: %w", ErrBadRecord, err)
		}
	}
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(&p); err != nil {
		return p, fmt.Errorf("%w: %w", ErrBadRecord, err)
	}
	if d.More() || (p.Head == nil) == (p.Part == nil) {
		return p, fmt.Errorf("%w: want exactly one head or part", ErrBadRecord)
	}
	if p.Head != nil {
		return p, p.Head.check()
	}
	return p, p.Part.check()
}

func (p *part) check() error {
	if p.ID.Part < 1 || p.ID.Content.Call == 0 || p.Version == 0 || len(p.Data) > maxPart {
		return fmt.Errorf("%w: part %d of call %d", ErrBadRecord, p.ID.Part, p.ID.Content.Call)
	}
	return nil
}

// check verifies the sums and the order of a decoded head.
func (t *Tree) check() error {
	if t.Version == 0 || t.Root.Workspace == "" || t.Root.Program == "" {
		return fmt.Errorf("%w: version %d of program %q", ErrBadRecord, t.Version, t.Root.Program)
	}
	var reserved, used model.Tokens
	for id, p := range t.Programs {
		if p == nil {
			return fmt.Errorf("%w: program %q is null", ErrBadRecord, id)
		}
		for n := model.CallNumber(1); int(n) <= len(p.Calls); n++ {
			c := p.Calls[n]
			if err := c.check(n, int(n) == len(p.Calls)); err != nil {
				return err
			}
			reserved += c.Reserved
			used += c.Used
		}
	}
	// Used also counts lost attempts of idempotent calls.
	if reserved != t.Reserved || used > t.Used {
		return fmt.Errorf("%w: calls reserve %d and used %d tokens, head says %d and %d",
			ErrBadRecord, reserved, used, t.Reserved, t.Used)
	}
	return nil
}

func (c *Call) check(n model.CallNumber, last bool) error {
	if c == nil || c.Number != n {
		return fmt.Errorf("%w: call %d is missing", ErrBadRecord, n)
	}
	switch c.State {
	case Done, Failed, Unknown:
	case Admitted, Started:
		if !last {
			return fmt.Errorf("%w: call %d is open but not the last", ErrBadRecord, n)
		}
	default:
		return fmt.Errorf("%w: call %d has state %q", ErrBadRecord, n, c.State)
	}
	if c.Reserved < 0 || c.Used < 0 {
		return fmt.Errorf("%w: call %d has negative tokens", ErrBadRecord, n)
	}
	return nil
}

// Identify returns the id and version of an encoded record after all checks.
func Identify(data []byte) (Record, error) {
	p, err := decode(data)
	if err != nil {
		return Record{}, err
	}
	if p.Head != nil {
		return Record{ID: ID{Root: p.Head.Root}, Version: p.Head.Version, Data: data, Expiry: p.Head.Expiry()}, nil
	}
	return Record{ID: p.Part.ID, Version: p.Part.Version, Data: data}, nil
}

// Newer reports whether r replaces old, which has the same id.
func (r Record) Newer(old Record) bool { return r.Version > old.Version }

// ErrIncomplete reports a head whose content is not among the records.
var ErrIncomplete = errors.New("content of a finished call is missing")

// Assemble builds a tree from its newest head and its content records.
func Assemble(head Record, find func(ID) (Record, bool)) (*Tree, error) {
	p, err := decode(head.Data)
	if err != nil {
		return nil, err
	}
	if p.Head == nil {
		return nil, fmt.Errorf("%w: not a head", ErrBadRecord)
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
			if t.contents[id], err = t.gather(id, c, find); err != nil {
				return nil, err
			}
		}
	}
	return t, nil
}

func (t *Tree) gather(id ContentID, c *Call, find func(ID) (Record, bool)) (Content, error) {
	var body []byte
	for i := 1; i <= c.Parts; i++ {
		r, ok := find(ID{Root: t.Root, Content: id, Part: i})
		if !ok || r.Version != c.Written {
			return Content{}, fmt.Errorf("program %q call %d part %d: %w", id.Program, id.Call, i, ErrIncomplete)
		}
		p, err := decode(r.Data)
		if err != nil {
			return Content{}, err
		}
		if p.Part == nil {
			return Content{}, fmt.Errorf("%w: not content", ErrBadRecord)
		}
		body = append(body, p.Part.Data...)
	}
	return splitContent(body)
}
