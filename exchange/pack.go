package exchange

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// maxReport bounds an unpacked report in bytes. That of a daemon before 6,200
// backend servers has about half of it.
const maxReport = 1 << 20

// packed is a report on its way: compressed JSON. Names of servers and workspaces
// recur in all rows, so that a report shrinks to a quarter.
type packed struct {
	Data []byte `json:"z"`
}

// packer packs reports, one at a time. It keeps the compressor, which takes half a
// megabyte.
type packer struct {
	buffer     bytes.Buffer
	compressor *flate.Writer
}

// newPacker returns a packer.
func newPacker() *packer {
	p := &packer{}
	// The level is a valid one, which is the only thing that can fail.
	p.compressor, _ = flate.NewWriter(&p.buffer, flate.BestSpeed)
	return p
}

// pack returns a report as the parameters of a notification.
func (p *packer) pack(r Report) (json.RawMessage, error) {
	p.buffer.Reset()
	p.compressor.Reset(&p.buffer)
	if err := json.NewEncoder(p.compressor).Encode(r); err != nil {
		return nil, errors.Wrap(err, "pack report")
	}
	if err := p.compressor.Close(); err != nil {
		return nil, errors.Wrap(err, "pack report")
	}
	return json.Marshal(packed{p.buffer.Bytes()})
}

// unpack returns the report in the parameters of a notification.
func unpack(params json.RawMessage) (Report, error) {
	var r Report
	var p packed
	if err := json.Unmarshal(params, &p); err != nil {
		return r, errors.Wrap(err, "unpack report")
	}
	f := flate.NewReader(bytes.NewReader(p.Data))
	defer func() { _ = f.Close() }()
	err := json.NewDecoder(io.LimitReader(f, maxReport)).Decode(&r)
	return r, errors.Wrap(err, "unpack report")
}
