package follow

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/samber/lo"
	"github.com/samber/oops"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// packThresholdBytes is the size in bytes from which on a delta is packed; the tables of the
	// compressor cost more than a small delta saves.
	packThresholdBytes = 16 << 10
	// rowOverheadBytes is about what a row takes besides its value.
	rowOverheadBytes = 64
	// maxUnpackedBytes bounds what a packed delta may hold; a table of 10,000 upstreams has 3 MB.
	maxUnpackedBytes = 64 << 20
)

// Packed is a delta as it is sent. After a restart or a new configuration all hosts of a
// cell fetch it from a few, over links of 10 Mbit/s: 3,000 upstreams are 1 MB as they
// are, and a configuration of 400 routes is 100 KB.
type Packed struct {
	Delta *Delta `json:"delta,omitempty"`
	Data  []byte `json:"data,omitempty"`
}

// Pack prepares a delta for sending.
func Pack(d Delta) (Packed, error) {
	size := lo.SumBy(d.Rows, func(r Row) int { return len(r.Value) + rowOverheadBytes })
	if size <= packThresholdBytes {
		return Packed{Delta: &d}, nil
	}
	var data bytes.Buffer
	compressor, err := flate.NewWriter(&data, flate.BestSpeed)
	if err != nil {
		return Packed{}, oops.Wrapf(err, "prepare the compression of a table")
	}
	encoder := msgpack.NewEncoder(compressor)
	encoder.UseArrayEncodedStructs(true)
	if err := encoder.Encode(&d); err != nil {
		return Packed{}, oops.Wrapf(err, "encode a table")
	}
	if err := compressor.Close(); err != nil {
		return Packed{}, oops.Wrapf(err, "compress a table")
	}
	return Packed{Data: data.Bytes()}, nil
}

// Unpack returns the delta that was packed.
func (p Packed) Unpack() (Delta, error) {
	if p.Delta != nil {
		return *p.Delta, nil
	}
	var d Delta
	data := io.LimitReader(flate.NewReader(bytes.NewReader(p.Data)), maxUnpackedBytes)
	if err := msgpack.NewDecoder(data).Decode(&d); err != nil {
		return Delta{}, oops.Wrapf(err, "a packed table could not be read; the sender may run another version")
	}
	return d, nil
}
