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
	// packThresholdBytes is the size above which a delta is compressed; allocating the
	// compressor costs more than a small delta saves.
	packThresholdBytes = 16 << 10
	// rowOverheadBytes estimates the encoded size of a row without its value.
	rowOverheadBytes = 64
	// maxUnpackedBytes bounds a decompressed delta; a table of 10,000 upstreams has 3 MB.
	maxUnpackedBytes = 64 << 20
)

// Packed is a delta as sent between hosts: Data holds a compressed one, Delta a small one. After
// a restart or a new configuration all hosts of a cell fetch deltas from a few hosts over links
// of 10 Mbit/s; uncompressed, 3,000 upstreams take 1 MB and a configuration of 400 routes 100 KB.
type Packed struct {
	Delta *Delta `json:"delta,omitempty"`
	Data  []byte `json:"data,omitempty"`
}

// Pack encodes a delta for sending, compressed if it is large.
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

func (p Packed) Unpack() (Delta, error) {
	if p.Delta != nil {
		return *p.Delta, nil
	}
	var d Delta
	data := io.LimitReader(flate.NewReader(bytes.NewReader(p.Data)), maxUnpackedBytes)
	if err := msgpack.NewDecoder(data).Decode(&d); err != nil {
		return Delta{}, oops.Wrapf(err, "decode a compressed table; the sender may run another version")
	}
	return d, nil
}
