package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/rattanscale/rattanscale/internal/upstream"
)

// ErrProtocol reports that the engine sent something other than the next token of the
// generation. It wraps upstream.ErrLost, because the rest of the stream cannot be used.
var ErrProtocol = fmt.Errorf("%w: unexpected event", upstream.ErrLost)

// maxEventBytes bounds one event, so that a faulty engine cannot exhaust the memory.
const maxEventBytes = 256 << 10

var errEndOfEvents = errors.New("end of events")

type chunk struct {
	ID      string        `json:"id"`
	Choices []chunkChoice `json:"choices"`
}

type chunkChoice struct {
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// parser reads the tokens of one generation from server-sent events. It rejects any
// token that is not the next one of that generation. It is used by one goroutine.
type parser struct {
	lines      *bufio.Scanner
	generation string // "" until the first chunk
	nextOffset int
	pendingEnd *upstream.Token // end of the generation, if it arrived with the last text
	finished   bool
}

// newParser returns a parser whose first token must have the given offset and
// generation. An empty generation accepts any.
func newParser(r io.Reader, generation string, offset int) *parser {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 4096), maxEventBytes)
	return &parser{lines: lines, generation: generation, nextOffset: offset}
}

// nextToken returns the next token, io.EOF after the end of the generation, or an
// error that wraps upstream.ErrLost.
func (p *parser) nextToken() (upstream.Token, error) {
	if p.pendingEnd != nil {
		t := *p.pendingEnd
		p.pendingEnd = nil
		return t, nil
	}
	if p.finished {
		return upstream.Token{}, io.EOF
	}
	data, err := p.nextEvent()
	if errors.Is(err, errEndOfEvents) {
		return upstream.Token{}, fmt.Errorf("%w: stream ended without a finish reason", ErrProtocol)
	}
	if err != nil {
		return upstream.Token{}, err
	}
	return p.decodeChunk(data)
}

// nextEvent returns the data of the next event. It returns errEndOfEvents at [DONE] and
// an error that wraps upstream.ErrLost if the connection ends before.
func (p *parser) nextEvent() ([]byte, error) {
	var data []byte
	hasData := false
	for p.lines.Scan() {
		line := p.lines.Bytes()
		if len(line) == 0 {
			if !hasData {
				continue
			}
			if string(data) == "[DONE]" {
				return nil, errEndOfEvents
			}
			return data, nil
		}
		value, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			continue // comments and other fields are ignored
		}
		if hasData {
			data = append(data, '\n')
		}
		hasData = true
		if data = append(data, bytes.TrimPrefix(value, []byte(" "))...); len(data) > maxEventBytes {
			return nil, fmt.Errorf("%w: event larger than %d bytes", ErrProtocol, maxEventBytes)
		}
	}
	if err := p.lines.Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", upstream.ErrLost, err)
	}
	return nil, fmt.Errorf("%w: connection closed before the end of the generation", upstream.ErrLost)
}

func (p *parser) decodeChunk(data []byte) (upstream.Token, error) {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return upstream.Token{}, fmt.Errorf("%w: %w", ErrProtocol, err)
	}
	generation, offset, err := splitChunkID(c.ID)
	if err != nil || len(c.Choices) != 1 {
		return upstream.Token{}, fmt.Errorf("%w: chunk %q with %d choices", ErrProtocol, c.ID, len(c.Choices))
	}
	if p.generation == "" {
		p.generation = generation
	}
	if generation != p.generation || offset != p.nextOffset {
		return upstream.Token{}, fmt.Errorf("%w: got %q, expected %s:%d", ErrProtocol, c.ID, p.generation, p.nextOffset)
	}
	return p.consumeChoice(c.Choices[0]), nil
}

// consumeChoice returns the token of a choice. If the choice has text and a finish
// reason, the end of the generation becomes pending.
func (p *parser) consumeChoice(choice chunkChoice) upstream.Token {
	t := upstream.Token{Generation: p.generation, Offset: p.nextOffset, Text: choice.Text}
	if choice.FinishReason == nil {
		p.nextOffset++
		return t
	}
	p.finished = true
	end := upstream.Token{Generation: p.generation, Offset: p.nextOffset, Done: true, Finish: *choice.FinishReason}
	if choice.Text == "" {
		return end
	}
	end.Offset++
	p.pendingEnd = &end
	return t
}

// splitChunkID splits a chunk identifier of the form generation:offset.
func splitChunkID(id string) (generation string, offset int, err error) {
	i := strings.LastIndexByte(id, ':')
	if i <= 0 {
		return "", 0, ErrProtocol
	}
	offset, err = strconv.Atoi(id[i+1:])
	return id[:i], offset, err
}
