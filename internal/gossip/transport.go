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
	"github.com/rattanscale/rattanscale/internal/guard"
)

const (
	// RoundInterval is the time between rounds. It is also the delay with which other hosts
	// learn of table revisions.
	RoundInterval = 200 * time.Millisecond
	// changeBatchWindow is the time during which changes of loads are collected into one
	// datagram. It is short compared with the 0.3 s in which an engine processes a prompt.
	changeBatchWindow = 15 * time.Millisecond
	// maxTargetsPerRound bounds the live hosts to which a regular round sends.
	maxTargetsPerRound = 64
	// One in roundsPerIntroduction rounds includes addresses. The other rounds carry only what
	// changes during an incarnation.
	roundsPerIntroduction = 5
	// addressRequestInterval bounds how often a host asks others for addresses.
	addressRequestInterval = 250 * time.Millisecond
	// On a divided site, one in roundsPerCellSend rounds sends to the hosts of the own cell.
	roundsPerCellSend = 2
	// maxDatagramBytes is the size limit of UDP datagrams.
	maxDatagramBytes = 64 << 10
	// unsentLogInterval is the time between log lines about messages that can not be sent for
	// the same reason.
	unsentLogInterval = 10 * time.Second
)

// The reasons for which a message, or a part of it, is not sent.
const (
	unsentEncoding = "encoding" // it could not be encoded, or has a part above the size limit
	unsentAddress  = "address"  // the address of the receiver is invalid
	unsentSocket   = "socket"   // the socket refused the datagram
)

// Conn is a UDP socket.
type Conn interface {
	ReadFromUDP(b []byte) (int, *net.UDPAddr, error)
	WriteToUDP(b []byte, to *net.UDPAddr) (int, error)
	Close() error
}

// Transport sends and receives gossip datagrams. Run must be called once.
type Transport struct {
	Table *Table
	Conn  Conn
	// Seeds are the addresses that are also sent to while fewer hosts than seeds are known;
	// SetSeeds replaces them.
	Seeds []string
	// Compose sets the fields of a message other than its members.
	Compose func(m *Message, full bool)
	// LoadsChanged receives a value after loads have changed.
	LoadsChanged <-chan struct{}
	// LocateUpstream returns the data centre of an upstream.
	LocateUpstream func(upstream string) (dataCentre string, known bool)
	// OnReceived is called after a message was merged into Table, unless it arrived out of order.
	OnReceived func(m Message, now time.Time)
	// OnUnsent, if set, is called with the reason whenever a datagram or a part of a message is
	// not sent.
	OnUnsent func(reason string)
	Log      logr.Logger

	sendCount          atomic.Uint64
	sendToAllRequested atomic.Bool
	fullRequested      atomic.Bool
	// addressesAskedAt is when this host last asked for addresses; only the goroutine that
	// receives uses it.
	addressesAskedAt time.Time
	// roundCount counts the regular rounds; only the goroutine of Run uses it.
	roundCount int64
	newSeeds   atomic.Pointer[[]string]
	contacts   contacts
	// composeMu ensures that a message with a higher heartbeat carries newer content.
	composeMu sync.Mutex

	unsentMu sync.Mutex
	// unsent holds, by reason, what has been counted since the last log line.
	unsent map[string]*unsentCount
}

type unsentCount struct {
	loggedAt time.Time
	since    int
}

// datagrams is an encoded message. It has several datagrams if one could not hold the message.
type datagrams [][]byte

// Run sends and receives until ctx ends, then closes Conn.
func (t *Transport) Run(ctx context.Context) {
	go t.receive(ctx)
	ticker := time.NewTicker(RoundInterval)
	defer ticker.Stop()
	t.SendNow()
	var batchDue <-chan time.Time
	for {
		select {
		case <-ticker.C:
			guard.Run(t.Log, "gossip round", t.sendRegularRound)
		case <-t.LoadsChanged:
			if batchDue == nil {
				batchDue = time.After(changeBatchWindow)
			}
		case <-batchDue:
			batchDue = nil
			guard.Run(t.Log, "gossip of changed loads", t.sendChanges)
		case <-ctx.Done():
			return
		}
	}
}

// sendRegularRound sends the periodic messages that are due.
func (t *Transport) sendRegularRound() {
	t.roundCount++
	cells := t.Table.Cells()
	if !cells.Divided() || t.roundCount%roundsPerCellSend == 0 {
		t.sendToCell(maxTargetsPerRound)
	}
	if cells.Divided() && t.roundCount%int64(digestInterval/RoundInterval) == 0 {
		t.sendDigest(cells)
	}
	if cells.Divided() && t.roundCount%roundsPerCellSend == 0 {
		t.askSilentCells()
	}
	t.sendToContacts()
	if t.sendToAllRequested.Swap(false) && cells.Divided() {
		now := time.Now()
		t.sendToHosts(t.composeAndMarshal(now, true, Message{Content: NoLoads}), t.Table.Live(now))
	}
}

// askSilentCells asks hosts of other cells for the digest of their cell if it is overdue.
func (t *Transport) askSilentCells() {
	now := time.Now()
	if hosts := t.Table.SilentCellHosts(now); len(hosts) > 0 {
		t.sendToHosts(t.composeAndMarshal(now, false, Message{Reply: true, Content: NoLoads, WantsAddresses: true}), hosts)
	}
}

// sendToContacts sends the first datagram of a full message, which has the addresses of this host,
// to hosts that are not known yet.
func (t *Transport) sendToContacts() {
	now := time.Now()
	if targets := t.contacts.next(func(name string) bool { return t.Table.isLive(name, now) }); len(targets) > 0 {
		data := t.composeAndMarshal(now, true, Message{Content: NoLoads})
		t.sendToHosts(data[:min(len(data), 1)], targets)
	}
}

// SendNow sends the state of this host to all hosts of its cell without waiting for the next round.
func (t *Transport) SendNow() { t.sendToCell(maxUndividedHosts) }

// sendToCell sends to all hosts of the cell, or on an undivided site to up to limit hosts.
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
	seeds := t.seeds()
	full := t.fullRequested.Swap(false) || t.sendCount.Add(1)%roundsPerIntroduction == 1 || len(targets) < len(seeds)
	withLoads, withoutLoads := t.composeAndMarshal(now, full, Message{}), datagrams(nil)
	for _, m := range targets {
		if t.Table.MarkFullLoadsIfDue(m.Name, now) {
			t.send(withLoads, m.PeerAddress)
			continue
		}
		if withoutLoads == nil {
			withoutLoads = t.composeAndMarshal(now, full, Message{Content: NoLoads})
		}
		t.send(withoutLoads, m.PeerAddress)
	}
	if len(targets) < len(seeds) {
		for _, seed := range seeds {
			t.send(withLoads, seed)
		}
	}
}

func (t *Transport) seeds() []string {
	if seeds := t.newSeeds.Load(); seeds != nil {
		return *seeds
	}
	return t.Seeds
}

// SetSeeds replaces the seeds and sends to the new ones in the next rounds.
func (t *Transport) SetSeeds(seeds []string) {
	t.newSeeds.Store(&seeds)
	t.Contact(lo.Map(seeds, func(address string, _ int) Member { return Member{PeerAddress: address} }))
}

// Contact sends to hosts in the next rounds, a few of them in each, until they are known. Hosts
// without a name are sent to a fixed number of times.
func (t *Transport) Contact(hosts []Member) { t.contacts.add(hosts) }

// SendFullNext makes the next message to the cell a full one.
func (t *Transport) SendFullNext() { t.fullRequested.Store(true) }

// SendToAllNextRound makes the next round send to all live hosts, including those of other cells.
func (t *Transport) SendToAllNextRound() { t.sendToAllRequested.Store(true) }

// sendDigest sends the digest of this cell to some hosts of other cells, and all loads to the
// cells whose upstreams run requests of this host.
func (t *Transport) sendDigest(cells *Cells) {
	now := time.Now()
	// The round number derives from the clock. Where the clocks of a cell differ, some targets
	// receive two digests and others get theirs a round later.
	round := now.Unix() / int64(digestInterval/time.Second)
	digest := t.Table.Digest(now, round%digestsPerIntroduction == 0)
	data := t.composeAndMarshal(now, true, Message{Content: NoLoads, Others: digest})
	t.sendToHosts(data, cells.DigestTargets(t.Table.Self().Name, t.Table.Live(now), round))
	t.sendToHosts(data, t.Table.FailedHostToProbe(now))
	m := t.compose(now, false, Message{})
	// Loads without tokens belong to plain upstreams; they are not sent to other cells.
	engines := lo.PickBy(m.Loads, func(_ string, l balance.Load) bool { return l.Tokens > 0 })
	if len(engines) > 0 {
		t.sendToHosts(t.marshal(&m), t.otherCellHosts(cells, engines))
	}
}

// sendChanges sends changed loads to the hosts that choose among the same upstreams.
func (t *Transport) sendChanges() {
	now := time.Now()
	cells := t.Table.Cells()
	m := t.compose(now, false, Message{Content: ChangedLoads})
	targets := cells.OwnCellHosts()
	if !cells.Divided() {
		targets = t.Table.Live(now)
	}
	t.sendToHosts(t.marshal(&m), append(slices.Clone(targets), t.otherCellHosts(cells, m.Loads)...))
}

// otherCellHosts returns the hosts of the other cells to which upstreams of loads belong.
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

func (t *Transport) sendToHosts(data datagrams, targets []Member) {
	for _, m := range targets {
		t.send(data, m.PeerAddress)
	}
}

// compose completes a message. A full message includes the addresses of this host and, unless
// Others is already set, some other members.
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

func (t *Transport) composeAndMarshal(now time.Time, full bool, m Message) datagrams {
	m = t.compose(now, full, m)
	return t.marshal(&m)
}

func (t *Transport) marshal(m *Message) datagrams {
	data, err := m.datagrams(func() Member { return t.Table.NextHeartbeat(false) })
	if err != nil {
		t.recordUnsent(unsentEncoding, "", err)
	}
	return data
}

func (t *Transport) send(data datagrams, address string) {
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		t.recordUnsent(unsentAddress, address, err)
		return
	}
	for _, d := range data {
		// A lost or refused datagram needs no retry, since the next round sends a newer one.
		if _, err := t.Conn.WriteToUDP(d, to); err != nil && !errors.Is(err, net.ErrClosed) {
			t.recordUnsent(unsentSocket, address, err)
		}
	}
}

// recordUnsent counts what is not sent, and logs it once in unsentLogInterval for each reason.
func (t *Transport) recordUnsent(reason, address string, err error) {
	if t.OnUnsent != nil {
		t.OnUnsent(reason)
	}
	t.unsentMu.Lock()
	defer t.unsentMu.Unlock()
	if t.unsent == nil {
		t.unsent = make(map[string]*unsentCount)
	}
	count := t.unsent[reason]
	if count == nil {
		count = &unsentCount{}
		t.unsent[reason] = count
	}
	count.since++
	if now := time.Now(); now.Sub(count.loggedAt) >= unsentLogInterval {
		t.Log.Error(err, "gossip message, or a part of it, was not sent", "reason", reason, "address", address, "count", count.since)
		count.loggedAt, count.since = now, 0
	}
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
		if err != nil { // the peer refused an earlier datagram (ICMP)
			continue
		}
		guard.Run(t.Log, "gossip datagram", func() { t.handleDatagram(buffer[:n], from.String()) })
	}
}

func (t *Transport) handleDatagram(data []byte, from string) {
	m, err := decodeMessage(data)
	if err != nil {
		t.Log.Info("gossip message could not be read", "from", from, "error", err.Error())
		return
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
		t.send(t.composeAndMarshal(now, true, reply), from)
	}
	t.exchangeAddresses(m.WantsAddresses, from, now)
}

// exchangeAddresses sends the addresses of this cell's hosts if they were asked for, and asks
// the sender of a digest for addresses that it left out. Without that, a host that restarted in
// another cell stays unlisted until the next regular digest with addresses.
func (t *Transport) exchangeAddresses(asked bool, from string, now time.Time) {
	if asked {
		t.send(t.composeAndMarshal(now, true, Message{Reply: true, Content: NoLoads, Others: t.Table.Digest(now, true)}), from)
		return
	}
	if now.Sub(t.addressesAskedAt) >= addressRequestInterval && t.Table.TakeAddressesWanted() {
		t.addressesAskedAt = now
		t.send(t.composeAndMarshal(now, false, Message{Reply: true, Content: NoLoads, WantsAddresses: true}), from)
	}
}
