package servicetext

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// pathNode is a YAML node with its path. The path string is built only for
// problems, so that a large valid text needs none.
type pathNode struct {
	parent *pathNode
	key    string
	index  int // position in a list, -1 for a field
	line   int
	node   ast.Node
}

func (p *pathNode) path() string {
	if p == nil || p.parent == nil {
		return ""
	}
	if p.index >= 0 {
		return p.parent.path() + "[" + strconv.Itoa(p.index) + "]"
	}
	if prefix := p.parent.path(); prefix != "" {
		return prefix + "." + p.key
	}
	return p.key
}

func (p *pathNode) value() string {
	if p.node == nil {
		return ""
	}
	switch n := p.node.(type) {
	case *ast.MappingNode, *ast.MappingValueNode, *ast.SequenceNode, *ast.NullNode:
		return ""
	case *ast.StringNode:
		return n.Value
	case *ast.LiteralNode:
		return n.Value.Value
	}
	return p.node.GetToken().Value
}

func lineOf(n ast.Node, fallback int) int {
	if n == nil {
		return fallback
	}
	if m, ok := n.(*ast.MappingValueNode); ok && m.Key != nil {
		n = m.Key
	}
	if t := n.GetToken(); t != nil && t.Position != nil {
		return t.Position.Line
	}
	return fallback
}

// reader converts YAML nodes to values and collects the problems. After a problem its
// methods return the zero value or the fallback, so that the rest of the text is read.
type reader struct {
	file     string
	problems Problems
}

func (r *reader) report(p *pathNode, message, remedy string) {
	r.reportValue(p, p.value(), message, remedy)
}

func (r *reader) reportValue(p *pathNode, value, message, remedy string) {
	path := p.path()
	if path == "" {
		path = "."
	}
	r.problems = append(r.problems, Problem{File: r.file, Line: p.line, Path: path, Value: value, Message: message, Remedy: remedy})
}

func entriesOf(n ast.Node) ([]*ast.MappingValueNode, bool) {
	switch m := n.(type) {
	case *ast.MappingNode:
		return m.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{m}, true
	}
	return nil, false
}

// readFields calls read for each known field of a mapping. It reports unknown,
// repeated and missing required fields.
func (r *reader) readFields(p *pathNode, known, required []string, read func(key string, field *pathNode)) {
	entries, ok := entriesOf(p.node)
	if !ok {
		r.report(p, "is not a mapping", "write the fields "+strings.Join(known, ", "))
		return
	}
	seen := make([]string, 0, len(known))
	for _, entry := range entries {
		key := ""
		if entry.Key != nil && entry.Key.GetToken() != nil {
			key = entry.Key.GetToken().Value
		}
		field := &pathNode{parent: p, key: key, index: -1, line: lineOf(entry.Key, p.line), node: entry.Value}
		switch {
		case !slices.Contains(known, key):
			r.reportValue(field, key, "is an unknown field", "use one of "+strings.Join(known, ", "))
		case slices.Contains(seen, key):
			r.report(field, "repeats a field of the same mapping", "keep one of the two")
		default:
			seen = append(seen, key)
			read(key, field)
		}
	}
	for _, key := range required {
		if !slices.Contains(seen, key) {
			missing := &pathNode{parent: p, key: key, index: -1, line: p.line}
			r.report(missing, "is missing", "add the field "+key)
		}
	}
}

// readList calls read for each element of a list. It reports a node that is not a list or
// has more than maxElements elements.
func (r *reader) readList(p *pathNode, maxElements int, read func(i int, element *pathNode)) {
	sequence, ok := p.node.(*ast.SequenceNode)
	if !ok {
		r.report(p, "is not a list", "write a list, such as [a, b]")
		return
	}
	if len(sequence.Values) > maxElements {
		r.reportValue(p, strconv.Itoa(len(sequence.Values)), fmt.Sprintf("has more than %d elements", maxElements), "remove elements")
		return
	}
	for i, value := range sequence.Values {
		read(i, &pathNode{parent: p, index: i, line: lineOf(value, p.line), node: value})
	}
}

func (r *reader) readString(p *pathNode) string {
	switch n := p.node.(type) {
	case *ast.StringNode:
		return n.Value
	case *ast.LiteralNode:
		return n.Value.Value
	}
	r.report(p, "is not a text", "write a text; put quotes around numbers and true or false")
	return ""
}

// readName reads a name and returns it if it meets validName. Otherwise it reports a
// problem and returns "".
func (r *reader) readName(p *pathNode) string {
	problemsBefore := len(r.problems)
	s := r.readString(p)
	if len(r.problems) > problemsBefore {
		return ""
	}
	if !validName(s) {
		r.report(p, "is not a valid name", "use 1 to 64 letters, digits, '.', '_' and '-', starting with a letter or digit")
		return ""
	}
	return s
}

func validName(s string) bool {
	if s == "" || len(s) > maxNameBytes {
		return false
	}
	for i := range len(s) {
		c := s[i]
		alphanumeric := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !alphanumeric && (i == 0 || !strings.ContainsRune("._-", rune(c))) {
			return false
		}
	}
	return true
}

func (r *reader) readChoice(p *pathNode, choices ...string) string {
	problemsBefore := len(r.problems)
	s := r.readString(p)
	if len(r.problems) == problemsBefore && !slices.Contains(choices, s) {
		r.report(p, "is not a known value", "use one of "+strings.Join(choices, ", "))
		return ""
	}
	return s
}

func (r *reader) readBoolean(p *pathNode, fallback bool) bool {
	if n, ok := p.node.(*ast.BoolNode); ok {
		return n.Value
	}
	r.report(p, "is not true or false", "write true or false")
	return fallback
}

func (r *reader) readInteger(p *pathNode, low, high, fallback int) int {
	n, ok := p.node.(*ast.IntegerNode)
	if !ok {
		r.report(p, "is not a whole number", fmt.Sprintf("write a whole number from %d to %d", low, high))
		return fallback
	}
	value, fits := integerValue(n)
	if !fits || value < int64(low) || value > int64(high) {
		r.report(p, "is out of range", fmt.Sprintf("write a whole number from %d to %d", low, high))
		return fallback
	}
	return int(value)
}

func integerValue(n *ast.IntegerNode) (int64, bool) {
	switch v := n.Value.(type) {
	case int64:
		return v, true
	case uint64:
		return int64(v), v <= math.MaxInt64
	}
	return 0, false
}

func (r *reader) readNumber(p *pathNode, low, high, fallback float64) float64 {
	var value float64
	switch n := p.node.(type) {
	case *ast.FloatNode:
		value = n.Value
	case *ast.IntegerNode:
		v, fits := integerValue(n)
		if !fits {
			v = math.MaxInt64
		}
		value = float64(v)
	default:
		r.report(p, "is not a number", fmt.Sprintf("write a number from %v to %v", low, high))
		return fallback
	}
	if !(value >= low && value <= high) { // also true for NaN
		r.report(p, "is out of range", fmt.Sprintf("write a number from %v to %v", low, high))
		return fallback
	}
	return value
}

func (r *reader) readDuration(p *pathNode, low, high, fallback time.Duration) time.Duration {
	remedy := fmt.Sprintf("write a duration with a unit, from %v to %v", low, high)
	n, ok := p.node.(*ast.StringNode)
	if !ok {
		r.report(p, "is not a duration", remedy)
		return fallback
	}
	value, err := time.ParseDuration(n.Value)
	if err != nil {
		r.report(p, "is not a duration", remedy)
		return fallback
	}
	if value < low || value > high {
		r.report(p, "is out of range", remedy)
		return fallback
	}
	return value
}
