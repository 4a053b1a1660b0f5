package gossip

import (
	"bytes"
	"errors"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/rattanscale/rattanscale/internal/catalog"
)

// extension follows a message in its datagram and holds what was added to the first
// form. Structs are encoded by the place of their fields, whose number must not change:
// hosts of two versions run side by side during an upgrade. Older hosts do not read it;
// further additions need a further value behind it.
type extension struct {
	// Ages are those of Others, in their order.
	Ages    []int64
	Notices []catalog.LeaveNotice
}

func (m *Message) encode() ([]byte, error) {
	e := extension{Notices: m.Notices}
	for _, o := range m.Others {
		e.Ages = append(e.Ages, o.Age)
	}
	var data bytes.Buffer
	encoder := msgpack.NewEncoder(&data)
	encoder.UseArrayEncodedStructs(true) // names of fields would be half of a datagram
	if err := encoder.Encode(m); err != nil {
		return nil, err
	}
	err := encoder.Encode(&e)
	return data.Bytes(), err
}

func decodeMessage(data []byte) (Message, error) {
	var m Message
	var e extension
	decoder := msgpack.NewDecoder(bytes.NewReader(data))
	if err := decoder.Decode(&m); err != nil {
		return m, err
	}
	if err := decoder.Decode(&e); err != nil && !errors.Is(err, io.EOF) { // hosts of the first form send none
		return m, err
	}
	m.Notices = e.Notices
	for i := range min(len(e.Ages), len(m.Others)) {
		m.Others[i].Age = e.Ages[i]
	}
	return m, nil
}
