package exchange

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// maxUnpacked bounds the size of unpacked reports in bytes. The row of one
// backend server has about 45 bytes in JSON, so that the reports of 20 daemons
// about 6,200 servers fit.
const maxUnpacked = 8 << 20

// packed is the form of reports on the wire: either compressed JSON, which all
// versions of the daemon read, or compressed columns.
type packed struct {
	// From is the name of the daemon that sent the message.
	From    string `json:"f,omitempty"`
	Data    []byte `json:"z,omitempty"`
	Columns []byte `json:"c,omitempty"`
}

// packer packs reports, one message at a time. It reuses the compressor and its
// buffer.
type packer struct {
	from       string
	buffer     bytes.Buffer
	compressor *flate.Writer
}

// newPacker returns a packer of the messages of a daemon.
func newPacker(from string) *packer {
	p := &packer{from: from}
	// NewWriter fails only for an invalid compression level.
	p.compressor, _ = flate.NewWriter(&p.buffer, flate.BestSpeed)
	return p
}

// pack returns reports as the parameters of a notification to daemons that may
// not read columns.
func (p *packer) pack(l []Report) (json.RawMessage, error) {
	data, err := p.compress(func(w io.Writer) error { return json.NewEncoder(w).Encode(l) })
	if err != nil {
		return nil, err
	}
	return json.Marshal(packed{From: p.from, Data: data})
}

// packColumns returns reports as the parameters of a notification to daemons that
// read columns.
func (p *packer) packColumns(l []Report) (json.RawMessage, error) {
	data, err := p.compress(func(w io.Writer) error { return cbor.NewEncoder(w).Encode(newColumns(l)) })
	if err != nil {
		return nil, err
	}
	return json.Marshal(packed{From: p.from, Columns: data})
}

// compress returns what encode writes, compressed. It is valid until the next call.
func (p *packer) compress(encode func(io.Writer) error) ([]byte, error) {
	p.buffer.Reset()
	p.compressor.Reset(&p.buffer)
	if err := encode(p.compressor); err != nil {
		return nil, errors.Wrap(err, "pack reports")
	}
	if err := p.compressor.Close(); err != nil {
		return nil, errors.Wrap(err, "pack reports")
	}
	return p.buffer.Bytes(), nil
}

// unpack returns the reports in the parameters of a notification and the name of the
// daemon that sent it.
func unpack(params json.RawMessage) (from string, l []Report, err error) {
	var p packed
	if err := json.Unmarshal(params, &p); err != nil {
		return "", nil, errors.Wrap(err, "unpack reports")
	}
	if len(p.Columns) > 0 {
		var c columns
		err := decompress(p.Columns, func(r io.Reader) error {
			data, err := io.ReadAll(r)
			if err != nil {
				return err
			}
			return cbor.Unmarshal(data, &c)
		})
		if err != nil {
			return "", nil, err
		}
		l, err := c.reports()
		return p.From, l, err
	}
	err = decompress(p.Data, func(r io.Reader) error { return json.NewDecoder(r).Decode(&l) })
	return p.From, l, err
}

// decompress decodes compressed data of at most maxUnpacked bytes.
func decompress(data []byte, decode func(io.Reader) error) error {
	f, _ := decompressors.Get().(io.ReadCloser)
	defer decompressors.Put(f)
	if r, ok := f.(flate.Resetter); !ok || r.Reset(bytes.NewReader(data), nil) != nil {
		return errors.New("unpack reports: no decompressor")
	}
	return errors.Wrap(decode(io.LimitReader(f, maxUnpacked)), "unpack reports")
}

// decompressors pools decompressors, each of which has buffers of 40 KB.
var decompressors = sync.Pool{New: func() any { return flate.NewReader(nil) }}
