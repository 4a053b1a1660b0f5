// Package explain finds the cause of a failed request in the logs of many hosts. It reads
// each log once, keeps a bounded number of lines, and derives the cause from what the hosts
// knew about themselves, the store and the upstreams at that time.
package explain

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
	"time"
)

// Reasons for which a line is not used.
var (
	// ErrForeign reports a line of another program, or without time, message or host.
	ErrForeign = errors.New("not a log line of rattanscale")
	// ErrBroken reports a line that was cut or garbled.
	ErrBroken = errors.New("broken log line")
)

// Field is a key and its value.
type Field struct{ Key, Value string }

// Record is one log line.
type Record struct {
	Time    time.Time
	Host    string
	Message string
	Fields  []Field
}

// Get returns the value of a key, or an empty text.
func (r *Record) Get(key string) string {
	for i := range r.Fields {
		if r.Fields[i].Key == key {
			return r.Fields[i].Value
		}
	}
	return ""
}

// Int returns the value of a key as a number, 0 if it is none.
func (r *Record) Int(key string) int {
	n, err := strconv.Atoi(r.Get(key))
	if err != nil {
		return 0
	}
	return n
}

// Millis returns the value of a key, which is in milliseconds.
func (r *Record) Millis(key string) time.Duration {
	return time.Duration(r.Int(key)) * time.Millisecond
}

var timeKey = []byte("time=")

// ParseLine parses a line of key=value pairs. Text before the key time, such as the prefix
// of a log collector, is ignored.
func ParseLine(line []byte) (Record, error) {
	start := bytes.Index(line, timeKey)
	if start < 0 || start > 0 && line[start-1] != ' ' && line[start-1] != '\t' {
		return Record{}, ErrForeign
	}
	var r Record
	rest := strings.TrimRight(string(line[start:]), "\r\n ")
	for rest != "" {
		key, value, after, err := cutPair(rest)
		if err != nil {
			return Record{}, err
		}
		rest = after
		switch key {
		case "time":
			if r.Time, err = time.Parse(time.RFC3339Nano, value); err != nil {
				return Record{}, ErrBroken
			}
		case "msg":
			r.Message = value
		case "host":
			r.Host = value
		case "level":
		default:
			r.Fields = append(r.Fields, Field{key, value})
		}
	}
	if r.Message == "" || r.Host == "" {
		return Record{}, ErrForeign
	}
	return r, nil
}

// cutPair returns the first pair of the text and the text after it.
func cutPair(text string) (key, value, rest string, err error) {
	key, text, found := strings.Cut(text, "=")
	if !found || key == "" || strings.ContainsAny(key, " \"") {
		return "", "", "", ErrBroken
	}
	if !strings.HasPrefix(text, `"`) {
		value, rest, _ = strings.Cut(text, " ")
		return key, value, rest, nil
	}
	quoted, err := strconv.QuotedPrefix(text)
	if err != nil {
		return "", "", "", ErrBroken
	}
	if value, err = strconv.Unquote(quoted); err != nil {
		return "", "", "", ErrBroken
	}
	rest = text[len(quoted):]
	if rest != "" && rest[0] != ' ' {
		return "", "", "", ErrBroken
	}
	return key, value, strings.TrimPrefix(rest, " "), nil
}
