package gossip

import (
	"bytes"
	"errors"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/rattanscale/rattanscale/internal/catalog"
)

// extension follows a message in its datagram and holds the fields that the first version of
// the format does not have. Structs are encoded as arrays, so the number and order of their
// fields must not change: hosts of two versions run side by side during an upgrade. Older hosts
// ignore the extension; new fields need a further value after it.
type extension struct {
	// MemberAges holds Age of each element of Message.Others, in the same order.
	MemberAges []int64 `msgpack:"Ages"`
	Notices    []catalog.LeaveNotice
}

// requests follows the extension if the sender asks for something or a further value follows.
type requests struct{ Addresses bool }

func (m *Message) encode() ([]byte, error) {
	e := extension{Notices: m.Notices}
	for _, o := range m.Others {
		e.MemberAges = append(e.MemberAges, o.Age)
	}
	var data bytes.Buffer
	encoder := msgpack.NewEncoder(&data)
	encoder.UseArrayEncodedStructs(true) // field names would take up half of a datagram
	if err := encoder.Encode(m); err != nil {
		return nil, err
	}
	err := encoder.Encode(&e)
	hasParts, hasLimits := len(m.PromptParts.Crashes)+len(m.PromptParts.Answers) > 0, len(m.Limits) > 0
	hasSpeeds := len(m.Speeds.Engines) > 0
	if err == nil && (m.WantsAddresses || hasParts || hasLimits || hasSpeeds) {
		err = encoder.Encode(&requests{Addresses: m.WantsAddresses})
	}
	if err == nil && (hasParts || hasLimits || hasSpeeds) {
		err = encoder.Encode(&m.PromptParts)
	}
	if err == nil && (hasLimits || hasSpeeds) {
		err = encoder.Encode(m.Limits)
	}
	if err == nil && hasSpeeds {
		err = encoder.Encode(&m.Speeds)
	}
	return data.Bytes(), err
}

func decodeMessage(data []byte) (Message, error) {
	var m Message
	var e extension
	decoder := msgpack.NewDecoder(bytes.NewReader(data))
	if err := decoder.Decode(&m); err != nil {
		return m, err
	}
	if err := decoder.Decode(&e); err != nil && !errors.Is(err, io.EOF) { // hosts of the first version send no extension
		return m, err
	}
	var r requests
	if err := decoder.Decode(&r); err != nil && !errors.Is(err, io.EOF) {
		return m, err
	}
	if err := decoder.Decode(&m.PromptParts); err != nil && !errors.Is(err, io.EOF) {
		return m, err
	}
	if err := decoder.Decode(&m.Limits); err != nil && !errors.Is(err, io.EOF) {
		return m, err
	}
	if err := decoder.Decode(&m.Speeds); err != nil && !errors.Is(err, io.EOF) {
		return m, err
	}
	m.Notices, m.WantsAddresses = e.Notices, r.Addresses
	for i := range min(len(e.MemberAges), len(m.Others)) {
		m.Others[i].Age = e.MemberAges[i]
	}
	return m, nil
}
