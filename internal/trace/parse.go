package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
)

// maxLineBytes bounds the length of one line, so that a file that is not a
// trace does not exhaust memory.
const maxLineBytes = 1 << 20

// Error is a problem in a trace file, with its position and remedy.
type Error struct {
	File    string
	Line    int
	Message string
	Remedy  string
}

// Error returns the position, the message and the remedy on one line.
func (e *Error) Error() string {
	return fmt.Sprintf("%s:%d: %s (remedy: %s)", e.File, e.Line, e.Message, e.Remedy)
}

// Load parses the trace file at path; see Parse.
func Load(path string) (*Trace, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("open trace: %w (remedy: give the path of a readable trace file)", err)
	}
	defer f.Close()
	return Parse(filepath.ToSlash(path), f)
}

// Parse reads a whole trace; errors give name as the file. It rejects unknown fields,
// unknown names, events out of order and values out of range with an *Error.
func Parse(name string, r io.Reader) (*Trace, error) {
	p := &parser{file: name}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		p.line++
		if err := p.parseLine(scanner.Bytes()); err != nil {
			return nil, err
		}
	}
	if err := scanner.Err(); err != nil {
		p.line++
		if errors.Is(err, bufio.ErrTooLong) {
			return nil, p.errorf("write one event a line", "line is longer than %d bytes", maxLineBytes)
		}
		return nil, p.errorf("check that the file is readable", "read: %v", err)
	}
	if p.line == 0 {
		p.line = 1
		return nil, p.errorf("start the file with a header line", "file is empty")
	}
	if p.trace.Header.Order == OrderCompletion {
		slices.SortStableFunc(p.trace.Events, compareTimes)
	}
	return &p.trace, nil
}

type parser struct {
	file  string
	line  int
	trace Trace
	names declaredNames
}

func (p *parser) errorf(remedy, format string, args ...any) *Error {
	return &Error{File: p.file, Line: p.line, Message: fmt.Sprintf(format, args...), Remedy: remedy}
}

func (p *parser) parseLine(line []byte) error {
	if len(bytes.TrimSpace(line)) == 0 {
		return p.errorf("remove the empty line", "line is empty")
	}
	if p.line == 1 {
		return p.parseHeader(line)
	}
	var e Event
	if err := p.decode(line, &e); err != nil {
		return err
	}
	if err := p.checkEvent(e); err != nil {
		return err
	}
	p.trace.Events = append(p.trace.Events, e)
	return nil
}

func (p *parser) parseHeader(line []byte) error {
	// Read the version first, so that a file of a later version is reported as such
	// instead of by its unknown fields.
	var v struct {
		Version *int `json:"version"`
	}
	if err := json.Unmarshal(line, &v); err != nil {
		return p.errorf("start the file with a JSON header line", "header is not valid JSON: %v", err)
	}
	if v.Version == nil || *v.Version != FormatVersion {
		return p.errorf(fmt.Sprintf("write the trace in version %d", FormatVersion), "unsupported or missing version")
	}
	if err := p.decode(line, &p.trace.Header); err != nil {
		return err
	}
	return p.checkHeader()
}

func (p *parser) decode(line []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(line))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return p.errorf("use the fields of docs/trace-format.md with values of their types", "%v", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return p.errorf("write one JSON object a line", "text after the JSON object")
	}
	return nil
}
