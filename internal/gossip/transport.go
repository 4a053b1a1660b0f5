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
	// RoundInterval is the time between rounds. Revisions of tables are as old as this when
	// they are used.
	RoundInterval = 200 * time.Millisecond
	// changeBatchWindow is the time in which changes of loads go into one datagram. It is short
	// beside the 0.3 s in which an engine reads a prompt.
	changeBatchWindow = 15 * time.Millisecond
	// maxTargetsPerRound bounds the hosts that are sent to in a regular round.
	maxTargetsPerRound = 64
	// roundsPerIntroduction is the number of rounds of which one introduces hosts; the others
	// carry only what changes.
	roundsPerIntroduction = 5
	// roundsPerCellSend is the number of rounds of which one goes to the hosts of a cell.
	roundsPerCellSend = 2
	// maxDatagramBytes is the largest datagram over UDP.
	maxDatagramBytes = 64 << 10
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
	// LoadsChanged is signalled when loads have changed.
	LoadsChanged <-chan struct{}
	// LocateUpstream returns the data centre of an upstream.
	LocateUpstream func(upstream string) (dataCentre string, known bool)
	// OnReceived is called after a message was merged.
	OnReceived func(m Message, now time.Time)
	Log        logr.Logger

	sendCount          atomic.Uint64
	sendToAllRequested atomic.Bool
	// roundCount counts the regular roundCount; only Run uses it.
	roundCount int64
	// composeMu keeps the order of beats that of what is said.
	composeMu sync.Mutex
}

// Run sends and receives until ctx ends.
func (t *Transport) Run(ctx context.Context) {
	go t.receive(ctx)
	ticker := time.NewTicker(RoundInterval)
	defer ticker.Stop()
	t.SendNow()
	var batchDue <-chan time.Time
	for {
		select {
		case <-ticker.C:
			t.sendRegularRound()
		case <-t.LoadsChanged:
			if batchDue == nil {
				batchDue = time.After(changeBatchWindow)
			}
		case <-batchDue:
			batchDue = nil
			t.sendChanges()
		case <-ctx.Done():
			return
		}
	}
}

// sendRegularRound sends what is due at regular times.
func (t *Transport) sendRegularRound() {
	t.roundCount++
	cells := t.Table.Cells()
	if !cells.Divided() || t.roundCount%roundsPerCellSend == 0 {
		t.sendToCell(maxTargetsPerRound)
	}
	if cells.Divided() && t.roundCount%int64(digestInterval/RoundInterval) == 0 {
		t.sendDigest(cells)
	}
	if t.sendToAllRequested.Swap(false) && cells.Divided() {
		now := time.Now()
		t.sendDatagrams(t.composeAndMarshal(now, true, Message{Content: NoLoads}), t.Table.Live(now))
	}
}

// SendNow tells all hosts of the cell at once of news that can not wait.
func (t *Transport) SendNow() { t.sendToCell(maxUndividedHosts) }

// sendToCell sends one round to up to limit hosts of the cell.
func (t *Transport) sendToCell(limit int) {
	now := time.Now()
	changed := t.Table.Refresh(now)
	cells := t.Table.Cells()
	if changed {
		t.Log.Info("cells changed", "cells", cells.CellCount(), "hosts", t.Table.CountLive(now)+1, "near", len(cells.OwnCellHosts()))
	}
	targets := cells.OwnCellHosts()
	if !cells.Divided() {
		targets = t.Table.Targets(now, limit)
	}
	full := t.sendCount.Add(1)%roundsPerIntroduction == 1 || len(targets) < len(t.Seeds)
	withLoads, withoutLoads := t.composeAndMarshal(now, full, Message{}), []byte(nil)
	for _, m := range targets {
		if t.Table.MarkFullLoadsIfDue(m.Name, now) {
			t.sendDatagram(withLoads, m.PeerAddress)
			continue
		}
		if withoutLoads == nil {
			withoutLoads = t.composeAndMarshal(now, full, Message{Content: NoLoads})
		}
		t.sendDatagram(withoutLoads, m.PeerAddress)
	}
	if len(targets) < len(t.Seeds) {
		for _, seed := range t.Seeds {
			t.sendDatagram(withLoads, seed)
		}
	}
}

// SendToAllNextRound makes the next round reach all hosts, also those of other cells.
func (t *Transport) SendToAllNextRound() { t.sendToAllRequested.Store(true) }

// sendDigest tells some hosts of other cells who lives in this one, and all loads to the
// cells on whose upstreams this host has work.
func (t *Transport) sendDigest(cells *Cells) {
	now := time.Now()
	// The time of day is about the same at all hosts of a cell; where it is not, some
	// hosts are told twice and others a round later.
	round := now.Unix() / int64(digestInterval/time.Second)
	digest := t.Table.Digest(now, round%digestsPerIntroduction == 0)
	data := t.composeAndMarshal(now, true, Message{Content: NoLoads, Others: digest})
	t.sendDatagrams(data, cells.DigestTargets(t.Table.Self().Name, t.Table.Live(now), round))
	t.sendDatagrams(data, t.Table.FailedHostToProbe(now))
	m := t.compose(now, false, Message{})
	// Plain upstreams, whose loads state no tokens, are shared without their loads.
	engines := lo.PickBy(m.Loads, func(_ string, l balance.Load) bool { return l.Tokens > 0 })
	if len(engines) > 0 {
		t.sendDatagrams(t.marshal(&m), t.otherCellHosts(cells, engines))
	}
}

// sendChanges tells the hosts that choose among the same upstreams of changed loads.
func (t *Transport) sendChanges() {
	now := time.Now()
	cells := t.Table.Cells()
	m := t.compose(now, false, Message{Content: ChangedLoads})
	targets := cells.OwnCellHosts()
	if !cells.Divided() {
		targets = t.Table.Live(now)
	}
	t.sendDatagrams(t.marshal(&m), append(slices.Clone(targets), t.otherCellHosts(cells, m.Loads)...))
}

// otherCellHosts returns the hosts of other cells in which some of the upstreams are.
func (t *Transport) otherCellHosts(cells *Cells, loads map[string]balance.Load) []Member {
	if !cells.Divided() {
		return nil
	}
	byName := make(map[string]Member)
	for id := range loads {
		dataCentre, known := t.LocateUpstream(id)
		if !known || cells.InOwnCell(dataCentre, id) {
			continue
		}
		for _, m := range cells.HostsInCellOf(dataCentre, id) {
			byName[m.Name] = m
		}
	}
	return slices.Collect(maps.Values(byName))
}

func (t *Transport) sendDatagrams(data []byte, targets []Member) {
	for _, m := range targets {
		t.sendDatagram(data, m.PeerAddress)
	}
}

// compose fills in a message. A full one introduces this host, and some others unless
// it names others already.
func (t *Transport) compose(now time.Time, full bool, m Message) Message {
	t.composeMu.Lock()
	defer t.composeMu.Unlock()
	m.Self = t.Table.NextHeartbeat(full)
	if full && m.Others == nil {
		m.Others = t.Table.MembersToIntroduce(t.Table.Self(), now, maxMembersPerMessage)
	}
	t.Compose(&m, full)
	return m
}

func (t *Transport) composeAndMarshal(now time.Time, full bool, m Message) []byte {
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

func (t *Transport) sendDatagram(data []byte, address string) {
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
	buffer := make([]byte, maxDatagramBytes)
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
		newOrChanged := t.Table.Merge(m, now)
		if t.Table.AcceptInOrder(m.Self) {
			t.OnReceived(m, now)
		}
		if newOrChanged && !m.Reply {
			reply := Message{Reply: true}
			if m.Self.State == Starting {
				reply.Others = t.Table.MembersToIntroduce(m.Self, now, maxMembersForStartingHost)
			}
			t.sendDatagram(t.composeAndMarshal(now, true, reply), from.String())
		}
	}
}
