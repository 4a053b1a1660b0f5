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
// ignore the extension and the values after it.
type extension struct {
	// MemberAges holds Age of each element of Message.Others, in the same order.
	MemberAges []int64 `msgpack:"Ages"`
	Notices    []catalog.LeaveNotice
}

// requests follows the extension if the sender asks for something or a further value follows.
type requests struct{ Addresses bool }

// Section is a part of a message's content that stands by itself: the transport may send the
// sections of a message in several datagrams, any of which may be lost. Sections are the last
// value of a datagram, and new content of messages is added as a section. Receivers ignore
// sections with names that they do not know.
type Section struct {
	Name string
	// Data is at most MaxSectionBytes long.
	Data []byte
}

// sectionSplit is the section that holds Message.Split.
const sectionSplit = "split"

func (m *Message) encode() ([]byte, error) {
	e := extension{Notices: m.Notices}
	for _, o := range m.Others {
		e.MemberAges = append(e.MemberAges, o.Age)
	}
	sections := m.Sections
	if m.Split != nil {
		split, err := encodeCompactly(m.Split)
		if err != nil {
			return nil, err
		}
		sections = append([]Section{{Name: sectionSplit, Data: split}}, sections...)
	}
	// A value is encoded if it or a later one is set.
	hasSections := len(sections) > 0
	hasLimits := hasSections || len(m.Limits) > 0
	hasParts := hasLimits || len(m.PromptParts.Crashes)+len(m.PromptParts.Answers) > 0
	hasRequests := hasParts || m.WantsAddresses
	values := []any{m, &e}
	for _, v := range []struct {
		set   bool
		value any
	}{{hasRequests, &requests{Addresses: m.WantsAddresses}}, {hasParts, &m.PromptParts}, {hasLimits, m.Limits}, {hasSections, sections}} {
		if v.set {
			values = append(values, v.value)
		}
	}
	return encodeCompactly(values...)
}

// encodeCompactly encodes values one after another, without the names of fields, which would
// take up half of a datagram.
func encodeCompactly(values ...any) ([]byte, error) {
	var data bytes.Buffer
	encoder := msgpack.NewEncoder(&data)
	encoder.UseArrayEncodedStructs(true)
	for _, v := range values {
		if err := encoder.Encode(v); err != nil {
			return nil, err
		}
	}
	return data.Bytes(), nil
}

func decodeMessage(data []byte) (Message, error) {
	var m Message
	var e extension
	var r requests
	var sections []Section
	decoder := msgpack.NewDecoder(bytes.NewReader(data))
	if err := decoder.Decode(&m); err != nil {
		return m, err
	}
	// Hosts of older versions, and messages without some content, end earlier.
	for _, value := range []any{&e, &r, &m.PromptParts, &m.Limits, &sections} {
		if err := decoder.Decode(value); err != nil && !errors.Is(err, io.EOF) {
			return m, err
		}
	}
	m.Notices, m.WantsAddresses = e.Notices, r.Addresses
	for i := range min(len(e.MemberAges), len(m.Others)) {
		m.Others[i].Age = e.MemberAges[i]
	}
	for _, s := range sections {
		if s.Name != sectionSplit {
			m.Sections = append(m.Sections, s)
			continue
		}
		m.Split = &Split{}
		if err := msgpack.Unmarshal(s.Data, m.Split); err != nil {
			return m, err
		}
	}
	return m, nil
}
