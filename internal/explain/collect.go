package explain

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"sort"
	"time"
)

const (
	// maxLineBytes bounds a line; longer ones are counted and skipped.
	maxLineBytes = 64 << 10
	// maxRequestLines bounds the lines about requests that are kept, maxStateLines those
	// about hosts, the store and upstreams. Both bound the memory for logs of any length.
	maxRequestLines = 50_000
	maxStateLines   = 200_000
	// maxSeconds bounds the table of outcomes by upstream and second.
	maxSeconds = 200_000
	// progressBytes is how much is read between two reports of progress.
	progressBytes = 64 << 20
)

const messageEnded = "request ended"

// stateMessages are the lines that show what a host knew about itself, the store and the
// upstreams.
var stateMessages = map[string]bool{
	"started": true, "ready": true, "draining": true, "stopped": true, "program failed": true,
	"store dependency lost": true, "store dependency regained": true,
	"configuration in force": true, "configuration could not be read; the previous one stays in force": true,
	"data centres taken out": true, "upstream registered": true, "upstream entry removed": true,
	"engine reported that it is leaving": true, "another host reported that an engine is leaving": true,
	"cells changed": true, "requests were cut off by the end of the drain": true,
	"rollout judged": true, "task panicked; its work is lost and the process goes on": true,
}

// Problems counts the lines that could not be used.
type Problems struct {
	Foreign int `json:"foreign"`
	Broken  int `json:"broken"`
	TooLong int `json:"too_long"`
	// Dropped counts lines about requests that did not fit, DroppedState those about the
	// state of the system, of which the oldest are dropped.
	Dropped      int `json:"dropped"`
	DroppedState int `json:"dropped_state"`
	// Examples holds the place of the first line of each kind.
	Examples []string `json:"examples,omitempty"`
}

// tally counts how the requests at one upstream ended within a second.
type tally struct{ ended, failed int }

type secondOfUpstream struct {
	upstream string
	second   int64
}

// Collector keeps the lines of a log that matter for the requests in question. Its memory
// is bounded. It is not safe for concurrent use.
type Collector struct {
	// Wanted selects the lines about requests that are kept.
	Wanted func(r *Record) bool

	Lines    int
	Problems Problems
	first    time.Time
	last     time.Time
	hosts    map[string]bool
	requests []Record
	state    []Record
	oldest   int // index in state of the oldest line once the limit is reached
	outcomes map[secondOfUpstream]*tally
	byHost   map[string][]int // indexes in state, in the order of their times
	sorted   bool
}

// NewCollector returns an empty collector.
func NewCollector(wanted func(r *Record) bool) *Collector {
	return &Collector{Wanted: wanted, hosts: make(map[string]bool), outcomes: make(map[secondOfUpstream]*tally)}
}

// Read reads a log to its end. name is used for the places of lines that cannot be used.
// progress is called with the bytes read so far; it may be nil.
func (c *Collector) Read(name string, r io.Reader, progress func(read int64)) error {
	reader := bufio.NewReaderSize(r, maxLineBytes)
	var read, reported int64
	for number := 1; ; number++ {
		line, err := reader.ReadSlice('\n')
		read += int64(len(line))
		tooLong := false
		for errors.Is(err, bufio.ErrBufferFull) {
			tooLong = true
			line, err = reader.ReadSlice('\n')
			read += int64(len(line))
		}
		switch {
		case tooLong:
			c.Problems.TooLong++
			c.addExample(c.Problems.TooLong, name, number, "longer than 64 KiB")
		case len(bytes.TrimSpace(line)) > 0:
			c.add(line, name, number)
		}
		if read-reported >= progressBytes && progress != nil {
			reported = read
			progress(read)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (c *Collector) add(line []byte, name string, number int) {
	c.Lines++
	record, err := ParseLine(line)
	switch {
	case errors.Is(err, ErrForeign):
		c.Problems.Foreign++
		c.addExample(c.Problems.Foreign, name, number, err.Error())
		return
	case err != nil:
		c.Problems.Broken++
		c.addExample(c.Problems.Broken, name, number, err.Error())
		return
	}
	if c.first.IsZero() || record.Time.Before(c.first) {
		c.first = record.Time
	}
	if record.Time.After(c.last) {
		c.last = record.Time
	}
	c.hosts[record.Host] = true
	if stateMessages[record.Message] {
		c.addState(record)
		return
	}
	if record.Message == messageEnded {
		c.countOutcome(&record)
	}
	if !c.Wanted(&record) {
		return
	}
	if len(c.requests) >= maxRequestLines {
		c.Problems.Dropped++
		return
	}
	c.requests = append(c.requests, record)
}

func (c *Collector) addExample(count int, name string, number int, problem string) {
	if count == 1 {
		c.Problems.Examples = append(c.Problems.Examples, place(name, number)+": "+problem)
	}
}

func (c *Collector) addState(r Record) {
	if len(c.state) < maxStateLines {
		c.state = append(c.state, r)
		return
	}
	c.Problems.DroppedState++
	c.state[c.oldest] = r
	c.oldest = (c.oldest + 1) % maxStateLines
}

func (c *Collector) countOutcome(r *Record) {
	upstream := r.Get("upstream")
	if upstream == "" {
		return
	}
	key := secondOfUpstream{upstream, r.Time.Unix()}
	t := c.outcomes[key]
	if t == nil {
		if len(c.outcomes) >= maxSeconds {
			return
		}
		t = &tally{}
		c.outcomes[key] = t
	}
	t.ended++
	if outcome := r.Get("outcome"); outcome == "failed" || outcome == "cut" {
		t.failed++
	}
}

// sortLines orders the lines by time; the logs of the hosts were read one after another.
func (c *Collector) sortLines() {
	if c.sorted {
		return
	}
	c.sorted = true
	sort.SliceStable(c.requests, func(i, j int) bool { return c.requests[i].Time.Before(c.requests[j].Time) })
	sort.SliceStable(c.state, func(i, j int) bool { return c.state[i].Time.Before(c.state[j].Time) })
	c.byHost = make(map[string][]int)
	for i := range c.state {
		c.byHost[c.state[i].Host] = append(c.byHost[c.state[i].Host], i)
	}
}

// latest returns the last line of a host up to a time that match accepts, or nil.
func (c *Collector) latest(host string, until time.Time, match func(r *Record) bool) *Record {
	lines := c.byHost[host]
	end := sort.Search(len(lines), func(i int) bool { return c.state[lines[i]].Time.After(until) })
	for i := end - 1; i >= 0; i-- {
		if r := &c.state[lines[i]]; match(r) {
			return r
		}
	}
	return nil
}

// earliest returns the first line of a host after a time that match accepts, or nil.
func (c *Collector) earliest(host string, after time.Time, match func(r *Record) bool) *Record {
	lines := c.byHost[host]
	start := sort.Search(len(lines), func(i int) bool { return c.state[lines[i]].Time.After(after) })
	for _, i := range lines[start:] {
		if r := &c.state[i]; match(r) {
			return r
		}
	}
	return nil
}

// outcomesAround returns how the requests at an upstream ended within a second of t.
func (c *Collector) outcomesAround(upstream string, t time.Time) (sum tally) {
	for second := t.Unix() - 1; second <= t.Unix()+1; second++ {
		if n := c.outcomes[secondOfUpstream{upstream, second}]; n != nil {
			sum.ended += n.ended
			sum.failed += n.failed
		}
	}
	return sum
}
