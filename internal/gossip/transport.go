package gossip

import (
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/samber/lo"

	"github.com/rattanscale/rattanscale/internal/balance"
)

const (
	// Interval is the time between rounds. Revisions of tables are as old as this when
	// they are used.
	Interval = 200 * time.Millisecond
	// gather is the time in which changes of loads go into one datagram. It is short
	// beside the 0.3 s in which an engine reads a prompt.
	gather = 15 * time.Millisecond
	// fanOut bounds the hosts that are sent to in a regular round.
	fanOut = 64
	// fullEvery is the number of rounds of which one introduces hosts; the others
	// carry only what changes.
	fullEvery = 5
	// cellRounds is the number of rounds of which one goes to the hosts of a cell.
	cellRounds = 2
	// maxDatagram is the largest datagram over UDP.
	maxDatagram = 64 << 10
)

// Conn is a UDP socket.
type Conn interface {
	ReadFromUDP(b []byte) (int, *net.UDPAddr, error)
	WriteToUDP(b []byte, to *net.UDPAddr) (int, error)
	Close() error
}

// Transport sends and receives datagrams. Run must be called once.
type Transport struct {
	Table *Table
	Conn  Conn
	// Seeds are addresses of hosts that are tried while few hosts are known.
	Seeds []string
	// Compose fills in what a datagram says besides the members.
	Compose func(m *Message, full bool)
	// Changed is signalled when loads have changed.
	Changed <-chan struct{}
	// Locate returns the data centre of an upstream.
	Locate func(upstream string) (dataCentre string, known bool)
	// Received is called after a message was merged.
	Received func(m Message, now time.Time)
	Log      logr.Logger

	sent   atomic.Uint64
	spread atomic.Bool
	// rounds counts the regular rounds; only Run uses it.
	rounds int64
	// composing keeps the order of beats that of what is said.
	composing sync.Mutex
}

// Run sends and receives until ctx ends.
func (t *Transport) Run(ctx context.Context) {
	go t.receive(ctx)
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	t.Send()
	var gathered <-chan time.Time
	for {
		select {
		case <-ticker.C:
			t.round()
		case <-t.Changed:
			if gathered == nil {
				gathered = time.After(gather)
			}
		case <-gathered:
			gathered = nil
			t.sendChanges()
		case <-ctx.Done():
			return
		}
	}
}

// round sends what is due at regular times.
func (t *Transport) round() {
	t.rounds++
	cells := t.Table.Cells()
	if !cells.Divided() || t.rounds%cellRounds == 0 {
		t.send(fanOut)
	}
	if cells.Divided() && t.rounds%int64(farInterval/Interval) == 0 {
		t.sendDigest(cells)
	}
	if t.spread.Swap(false) && cells.Divided() {
		now := time.Now()
		t.writeAll(t.encode(now, true, Message{Content: NoLoads}), t.Table.Live(now))
	}
}

// Send tells all hosts of the cell at once of news that can not wait.
func (t *Transport) Send() { t.send(wholeSite) }

// send sends one round to up to limit hosts of the cell.
func (t *Transport) send(limit int) {
	now := time.Now()
	changed := t.Table.Tick(now)
	cells := t.Table.Cells()
	if changed {
		t.Log.Info("cells changed", "cells", cells.Parts(), "hosts", t.Table.CountLive(now)+1, "near", len(cells.Near()))
	}
	targets := cells.Near()
	if !cells.Divided() {
		targets = t.Table.Targets(now, limit)
	}
	full := t.sent.Add(1)%fullEvery == 1 || len(targets) < len(t.Seeds)
	all, brief := t.encode(now, full, Message{}), []byte(nil)
	for _, m := range targets {
		if t.Table.TellAll(m.Name, now) {
			t.write(all, m.PeerAddress)
			continue
		}
		if brief == nil {
			brief = t.encode(now, full, Message{Content: NoLoads})
		}
		t.write(brief, m.PeerAddress)
	}
	if len(targets) < len(t.Seeds) {
		for _, seed := range t.Seeds {
			t.write(all, seed)
		}
	}
}

// Spread makes the next round reach all hosts, also those of other cells.
func (t *Transport) Spread() { t.spread.Store(true) }

// sendDigest tells some hosts of other cells who lives in this one, and all loads to the
// cells on whose upstreams this host has work.
func (t *Transport) sendDigest(cells *Cells) {
	now := time.Now()
	// The time of day is about the same at all hosts of a cell; where it is not, some
	// hosts are told twice and others a round later.
	round := now.Unix() / int64(farInterval/time.Second)
	digest := t.Table.Digest(now, round%introduceEvery == 0)
	data := t.encode(now, true, Message{Content: NoLoads, Others: digest})
	t.writeAll(data, cells.Far(t.Table.Self().Name, t.Table.Live(now), round))
	t.writeAll(data, t.Table.Silent(now))
	m := t.compose(now, false, Message{})
	// Plain upstreams, whose loads state no tokens, are shared without their loads.
	engines := lo.PickBy(m.Loads, func(_ string, l balance.Load) bool { return l.Tokens > 0 })
	if len(engines) > 0 {
		t.writeAll(t.marshal(&m), t.beyond(cells, engines))
	}
}

// sendChanges tells the hosts that choose among the same upstreams of changed loads.
func (t *Transport) sendChanges() {
	now := time.Now()
	cells := t.Table.Cells()
	m := t.compose(now, false, Message{Content: ChangedLoads})
	targets := cells.Near()
	if !cells.Divided() {
		targets = t.Table.Live(now)
	}
	t.writeAll(t.marshal(&m), append(slices.Clone(targets), t.beyond(cells, m.Loads)...))
}

// beyond returns the hosts of other cells in which some of the upstreams are.
func (t *Transport) beyond(cells *Cells, loads map[string]balance.Load) []Member {
	if !cells.Divided() {
		return nil
	}
	byName := make(map[string]Member)
	for id := range loads {
		dataCentre, known := t.Locate(id)
		if !known || cells.Own(dataCentre, id) {
			continue
		}
		for _, m := range cells.Around(dataCentre, id) {
			byName[m.Name] = m
		}
	}
	return slices.Collect(maps.Values(byName))
}

func (t *Transport) writeAll(data []byte, targets []Member) {
	for _, m := range targets {
		t.write(data, m.PeerAddress)
	}
}

// compose fills in a message. A full one introduces this host, and some others unless
// it names others already.
func (t *Transport) compose(now time.Time, full bool, m Message) Message {
	t.composing.Lock()
	defer t.composing.Unlock()
	m.Self = t.Table.Beat(full)
	if full && m.Others == nil {
		m.Others = t.Table.Introduced(t.Table.Self(), now, othersPerMessage)
	}
	t.Compose(&m, full)
	return m
}

func (t *Transport) encode(now time.Time, full bool, m Message) []byte {
	m = t.compose(now, full, m)
	return t.marshal(&m)
}

func (t *Transport) marshal(m *Message) []byte {
	data, err := m.encode()
	if err != nil {
		t.Log.Error(err, "gossip message could not be encoded")
	}
	return data
}

func (t *Transport) write(data []byte, address string) {
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		t.Log.Error(err, "peer address is invalid", "address", address)
		return
	}
	// A datagram that is lost or refused is replaced by the next round.
	_, _ = t.Conn.WriteToUDP(data, to)
}

func (t *Transport) receive(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = t.Conn.Close() })
	defer stop()
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := t.Conn.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // an earlier datagram was refused
			continue
		}
		m, err := decodeMessage(buffer[:n])
		if err != nil {
			t.Log.Info("gossip message could not be read", "from", from.String(), "error", err.Error())
			continue
		}
		now := time.Now()
		isNew := t.Table.Learn(m, now)
		if t.Table.InOrder(m.Self) {
			t.Received(m, now)
		}
		if isNew && !m.Reply {
			reply := Message{Reply: true}
			if m.Self.State == Starting {
				reply.Others = t.Table.Introduced(m.Self, now, othersForStarting)
			}
			t.write(t.encode(now, true, reply), from.String())
		}
	}
}
