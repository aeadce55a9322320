package exchange

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"

	"github.com/pkg/errors"
)

// maxUnpacked bounds the size of unpacked reports in bytes. The row of one
// backend server has about 45 bytes, so that the reports of 20 daemons about
// 6,200 servers fit.
const maxUnpacked = 8 << 20

// packed is the form of reports on the wire: compressed JSON. Names of servers
// and workspaces recur in all rows, so that reports shrink to less than half.
type packed struct {
	// From is the name of the daemon that sent the message.
	From string `json:"f,omitempty"`
	Data []byte `json:"z"`
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

// pack returns reports as the parameters of a notification.
func (p *packer) pack(l []Report) (json.RawMessage, error) {
	p.buffer.Reset()
	p.compressor.Reset(&p.buffer)
	if err := json.NewEncoder(p.compressor).Encode(l); err != nil {
		return nil, errors.Wrap(err, "pack reports")
	}
	if err := p.compressor.Close(); err != nil {
		return nil, errors.Wrap(err, "pack reports")
	}
	return json.Marshal(packed{p.from, p.buffer.Bytes()})
}

// unpack returns the reports in the parameters of a notification and the name of the
// daemon that sent it.
func unpack(params json.RawMessage) (from string, l []Report, err error) {
	var p packed
	if err := json.Unmarshal(params, &p); err != nil {
		return "", nil, errors.Wrap(err, "unpack reports")
	}
	f, _ := decompressors.Get().(io.ReadCloser)
	defer decompressors.Put(f)
	if r, ok := f.(flate.Resetter); !ok || r.Reset(bytes.NewReader(p.Data), nil) != nil {
		return "", nil, errors.New("unpack reports: no decompressor")
	}
	err = json.NewDecoder(io.LimitReader(f, maxUnpacked)).Decode(&l)
	return p.From, l, errors.Wrap(err, "unpack reports")
}

// decompressors pools decompressors, each of which has buffers of 40 KB.
var decompressors = sync.Pool{New: func() any { return flate.NewReader(nil) }}
