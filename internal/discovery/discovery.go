package discovery

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"github.com/rattanscale/rattanscale/internal/guard"
)

const (
	// checkInterval is how often the schedule is checked.
	checkInterval = 200 * time.Millisecond
	// callTimeout bounds a call of the table.
	callTimeout = 2 * time.Second
	// maxRowsPerWrite bounds a write, which has an entry for the condition and one for the change
	// of each row; the platform's store takes 100 entries.
	maxRowsPerWrite = 50
	// writeInterval is the time between the writes of a large site.
	writeInterval = 50 * time.Millisecond
)

// Page is a part of the table, in the order of the names.
type Page struct {
	Rows []Row
	// Next is where the next page begins; empty if there is none.
	Next string
	// Revision is the revision of the store at which the page was read.
	Revision uint64
}

// Store is the table of hosts.
type Store interface {
	ReadHosts(ctx context.Context, from string) (Page, error)
	// WriteHosts applies all changes or none, on condition that each row has its revision.
	WriteHosts(ctx context.Context, put, removed []Row) error
}

// Service keeps the table and finds hosts through it. Run must be called once.
type Service struct {
	Store    Store
	Schedule *Schedule
	Standing func(now time.Time) Standing
	View     func(now time.Time) View
	// Contact sends messages to hosts that are not known.
	Contact func(hosts []Host)
	// OnRead is called with the number of hosts in the table after a read, and with the revision of
	// the store. The revision is 0 if more hosts may follow.
	OnRead func(hosts int, revision uint64)
	Log    logr.Logger

	// absent holds what earlier passes have found; only the goroutine of Run uses it.
	absent map[string]absence
	// cursor is where the next pass of a host that is alone begins.
	cursor string
}

// Run makes passes until ctx ends.
func (s *Service) Run(ctx context.Context) {
	s.absent = make(map[string]absence)
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			guard.Run(s.Log, "pass over the table of hosts", func() {
				if s.Schedule.Due(s.Standing(now), now) {
					s.pass(ctx, s.View(now))
				}
			})
		}
	}
}

// pass reads the table, contacts unknown hosts, and registers and removes hosts.
func (s *Service) pass(ctx context.Context, v View) {
	t, err := s.read(ctx, v.alone())
	rows := len(t.rows)
	defer func() { s.Schedule.passed(v.alone(), err, t.pages, rows, time.Now()) }()
	if err != nil {
		s.Log.Info("table of hosts could not be read", "error", err.Error())
		return
	}
	p := makePlan(v, t.rows, s.absent, v.alone() && s.Schedule.passesAlone == 0, time.Now())
	if len(p.contact) > 0 {
		s.Log.Info("contacting hosts of the table that are not known", "hosts", len(p.contact), "known", len(v.Live))
		s.Contact(p.contact)
	}
	if !t.complete {
		return // the rows that seem to lack may be on another page
	}
	if err = s.write(ctx, p); err != nil {
		// The rows may have been written, which the next pass shows.
		s.Log.Info("hosts could not be registered", "hosts", len(p.put), "removed", len(p.removed), "error", err.Error())
		return
	}
	for _, row := range p.put {
		if row.Revision == 0 {
			rows++
		}
	}
	rows -= len(p.removed)
}

// table is what a pass has read.
type table struct {
	rows     []Row
	pages    int
	complete bool
}

// read reads the table. A host that is alone reads one page, and the next one in its next pass,
// since a few of the others are enough.
func (s *Service) read(ctx context.Context, alone bool) (t table, err error) {
	from, revision := "", uint64(0)
	if alone {
		from = s.cursor
	}
	fromStart := from == ""
	for t.pages == 0 || from != "" && !alone {
		page, err := s.readPage(ctx, from)
		if err != nil {
			return table{}, err
		}
		if t.pages == 0 {
			revision = page.Revision
		}
		t.rows, t.pages, from = append(t.rows, page.Rows...), t.pages+1, page.Next
	}
	s.cursor, t.complete = from, fromStart && from == ""
	if !t.complete {
		revision = 0
	}
	s.OnRead(len(t.rows), revision)
	return t, nil
}

func (s *Service) readPage(ctx context.Context, from string) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.Store.ReadHosts(ctx, from)
}

func (s *Service) write(ctx context.Context, p plan) error {
	for len(p.put)+len(p.removed) > 0 {
		put := p.put[:min(len(p.put), maxRowsPerWrite)]
		removed := p.removed[:min(len(p.removed), maxRowsPerWrite-len(put))]
		if err := s.writeRows(ctx, put, removed); err != nil {
			return err
		}
		s.Log.Info("table of hosts updated", "registered", len(put), "removed", len(removed))
		p.put, p.removed = p.put[len(put):], p.removed[len(removed):]
		if len(p.put)+len(p.removed) > 0 {
			time.Sleep(writeInterval)
		}
	}
	return nil
}

func (s *Service) writeRows(ctx context.Context, put, removed []Row) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.Store.WriteHosts(ctx, put, removed)
}
