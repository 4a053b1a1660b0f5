package gossip

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/rattanscale/rattanscale/internal/balance"
)

const (
	// maxMessageBytes bounds a datagram. UDP allows 65,507 bytes, and hosts read up to 64 KiB.
	maxMessageBytes = 16 << 10
	// MaxSectionBytes bounds the data of a section, so that it fits into a datagram beside the
	// state of the sender.
	MaxSectionBytes = 12 << 10
	// elementOverheadBytes is the most that an element adds beside its own encoding: the length
	// of the list that holds it, and the age of a member.
	elementOverheadBytes = 16
	// splitBytes is reserved in each datagram of a split message for the section of Split, which
	// names up to two upstreams.
	splitBytes = 512
)

// errTooLarge reports content that fits into no datagram.
var errTooLarge = errors.New("content exceeds the size limit of a datagram")

// Range is a range of keys: From is included, To is not. The zero value of To means no end.
type Range[K cmp.Ordered] struct{ From, To K }

// Contains reports whether the range contains a key.
func (r Range[K]) Contains(key K) bool {
	var noEnd K
	return key >= r.From && (r.To == noEnd || key < r.To)
}

// Split describes a datagram that holds only a part of the loads and losses of its message. It
// replaces what the sender has reported of keys within its ranges and leaves the rest unchanged,
// so that each datagram of a message is of use without the others.
type Split struct {
	// Continuation is set in all datagrams of a message but the first, which alone has the
	// tables. A continuation has the content ChangedLoads, since older hosts read only the
	// loads of that.
	Continuation bool
	// Loads and Losses are nil if the datagram states nothing about them.
	Loads  *Range[string]
	Losses *Range[uint64]
}

// datagrams encodes a message in as many datagrams as its size requires. The first has the
// sender and its tables, followed by the members: membership never depends on a datagram with
// content that grows with the configuration or the number of upstreams. next returns the sender
// with a higher heartbeat. Content that fits into no datagram is left out and reported as an
// error beside the datagrams with the rest.
func (m *Message) datagrams(next func() Member) ([][]byte, error) {
	data, err := m.encode()
	if err != nil {
		return nil, err
	}
	if len(data) <= maxMessageBytes {
		return [][]byte{data}, nil
	}
	s := &splitter{next: next}
	s.split(m)
	var out [][]byte
	for _, part := range s.parts {
		data, err := part.encode()
		if err == nil && len(data) > maxMessageBytes {
			err = fmt.Errorf("%w: %d bytes of the sender and its tables", errTooLarge, len(data))
		}
		if err != nil {
			s.errs = append(s.errs, err)
			continue
		}
		out = append(out, data)
	}
	return out, errors.Join(s.errs...)
}

// splitter distributes the elements of a message over several messages.
type splitter struct {
	next  func() Member
	parts []*Message
	// size is an upper bound of the encoded size of the last part.
	size int
	errs []error
}

func (s *splitter) split(m *Message) {
	first := &Message{Self: m.Self, Tables: m.Tables, Reply: m.Reply, Content: m.Content, WantsAddresses: m.WantsAddresses, Split: &Split{}}
	s.begin(first)
	for _, o := range m.Others {
		if p := s.partFor(o, ""); p != nil {
			p.Others = append(p.Others, o)
		}
	}
	for _, notice := range m.Notices {
		if p := s.partFor(notice, ""); p != nil {
			p.Notices = append(p.Notices, notice)
		}
	}
	if p := s.partFor(m.PromptParts, ""); p != nil {
		p.PromptParts = m.PromptParts
	}
	for _, limit := range m.Limits {
		if p := s.partFor(limit, ""); p != nil {
			p.Limits = append(p.Limits, limit)
		}
	}
	if m.Content != ChangedLoads {
		s.splitLosses(m.Losses)
	}
	s.splitLoads(m)
	for _, section := range m.Sections {
		if p := s.partFor(section, ""); p != nil {
			p.Sections = append(p.Sections, section)
		}
	}
	for service, evidence := range m.Evidence {
		if p := s.partFor(evidence, service); p != nil {
			if p.Evidence == nil {
				p.Evidence = make(map[string][]byte)
			}
			p.Evidence[service] = evidence
		}
	}
}

func (s *splitter) splitLosses(losses map[uint64]int) {
	var part *Message
	for _, fingerprint := range slices.Sorted(maps.Keys(losses)) {
		p := s.partFor(losses[fingerprint], "fingerprint")
		if p == nil {
			continue
		}
		if p != part {
			p.Losses, p.Split.Losses = make(map[uint64]int), &Range[uint64]{}
			if part != nil {
				p.Split.Losses.From, part.Split.Losses.To = fingerprint, fingerprint
			}
			part = p
		}
		p.Losses[fingerprint] = losses[fingerprint]
	}
	if part == nil {
		s.parts[len(s.parts)-1].Split.Losses = &Range[uint64]{}
	}
}

// splitLoads distributes the loads. Ranges are set only if the message holds all loads;
// otherwise it replaces just those it names.
func (s *splitter) splitLoads(m *Message) {
	var part *Message
	for _, upstream := range slices.Sorted(maps.Keys(m.Loads)) {
		p := s.partFor(m.Loads[upstream], upstream)
		if p == nil {
			continue
		}
		if p != part {
			p.Loads = make(map[string]balance.Load)
			if m.Content == AllLoads {
				p.Split.Loads = &Range[string]{}
				if part != nil {
					p.Split.Loads.From, part.Split.Loads.To = upstream, upstream
				}
			}
			part = p
		}
		p.Loads[upstream] = m.Loads[upstream]
	}
	if part == nil && m.Content == AllLoads {
		s.parts[len(s.parts)-1].Split.Loads = &Range[string]{}
	}
}

func (s *splitter) begin(part *Message) {
	data, err := part.encode()
	if err != nil {
		s.errs = append(s.errs, err)
	}
	s.parts, s.size = append(s.parts, part), len(data)+splitBytes
}

// partFor returns the message to which an element with a key is added, or nil if the element
// fits into no datagram.
func (s *splitter) partFor(element any, key string) *Message {
	data, err := encodeCompactly(element)
	size := len(data) + len(key) + elementOverheadBytes
	if err == nil && s.size+size > maxMessageBytes {
		s.begin(&Message{Self: s.next(), Content: ChangedLoads, Reply: s.parts[0].Reply, Split: &Split{Continuation: true}})
		if s.size+size > maxMessageBytes {
			err = fmt.Errorf("%w: %d bytes of %T", errTooLarge, len(data), element)
		}
	}
	if err != nil {
		s.errs = append(s.errs, err)
		return nil
	}
	s.size += size
	return s.parts[len(s.parts)-1]
}
