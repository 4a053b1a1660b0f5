// Package servicetext parses and validates the service text, the YAML text in which
// operators declare data centres, pools, services and client accounts. A text is
// either accepted as a whole, or all its problems are returned, each with file,
// line, path, value and remedy.
//
// Fields that a text omits have these defaults:
//
//	pools[].fencing                      ignores
//	pools[].refusals-prove-not-run       false
//	pools[].limits.cold-requests         1
//	pools[].limits.max-requests          32
//	pools[].limits.memory-tokens         unlimited
//	pools[].limits.target-step           62ms (engine and application pools)
//	pools[].upstreams[].leaving          false
//	services[].delivery                  error
//	services[].repeatable                true
//	services[].priority                  5
//	services[].deadline                  60s
//	services[].versions[].share          100 for the only version, else 0
//	services[].rollout.finish-within     30m
//	services[].rollout.max-error-increase 0.02
//	services[].rollout.max-slowdown      1.5
//	accounts[].share                     1
//	accounts[].max-queued                100
//
// Anchors, aliases, tags, merge keys and explicit keys ("?") are rejected, so that
// each line can be understood alone and a text cannot expand beyond its size.
//
// All functions are safe for concurrent use.
package servicetext

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"

	"github.com/rattanscale/rattanscale/internal/entity"
)

// Size limits of a text.
const (
	MaxBytes     = 1 << 20
	MaxUpstreams = 10_000
	MaxServices  = 1_000
	MaxAccounts  = 20_000
)

const (
	maxNameBytes   = 64
	maxDataCentres = 64
	maxVersions    = 16
	maxReferences  = 1_000
	maxRequests    = 100_000
	maxQueued      = 1_000_000
	// minMemoryTokens is enough for one request with a prompt and an answer of 256 tokens each.
	minMemoryTokens = 512
	maxMemoryTokens = 1 << 40
	// maxNesting limits the parser's recursion; the deepest valid text has 6 levels.
	maxNesting = 32
	// maxFields limits the fields that checkTokens counts for one mapping. The longest
	// valid mapping has 8 fields, but the count includes fields of enclosing mappings.
	maxFields = 500

	minTargetStep     = time.Millisecond
	maxTargetStep     = 10 * time.Second
	defaultTargetStep = 62 * time.Millisecond

	minDeadline     = 10 * time.Millisecond
	maxDeadline     = 24 * time.Hour
	defaultDeadline = 60 * time.Second
	defaultPriority = 5

	minFinishWithin     = time.Minute
	maxFinishWithin     = 24 * time.Hour
	defaultFinishWithin = 30 * time.Minute
	// An increase below 0.5% cannot be distinguished from the tolerance of the
	// rollout's statistical test.
	minErrorIncrease     = 0.005
	maxErrorIncrease     = 0.5
	defaultErrorIncrease = 0.02
	minSlowdown          = 1.05
	maxSlowdown          = 10
	defaultSlowdown      = 1.5

	defaultColdRequests = 1
	defaultMaxRequests  = 32
	defaultAccountShare = 1
	minAccountShare     = 0.001
	maxAccountShare     = 1_000_000
	defaultMaxQueued    = 100
	fullSharePercent    = 100
)

// Parse returns the content of the text. The error is a failure.InvalidServiceText
// that wraps Problems; file is the file name in them.
func Parse(file string, data []byte) (*entity.ServiceText, error) {
	r := &reader{file: file}
	root := r.parseRoot(data)
	if root == nil {
		return nil, r.problems.failure()
	}
	text := newTextReader(r).read(root)
	if len(r.problems) > 0 {
		return nil, r.problems.failure()
	}
	return text, nil
}

// parseRoot parses the YAML and returns its root node, or nil after a problem.
func (r *reader) parseRoot(data []byte) *pathNode {
	rootNode := &pathNode{index: -1, line: 1}
	if len(data) > MaxBytes {
		r.reportValue(rootNode, strconv.Itoa(len(data)), fmt.Sprintf("is longer than %d bytes", MaxBytes), "shorten the text")
		return nil
	}
	tree, syntaxErr := parseYAML(data)
	switch {
	case syntaxErr != nil:
		rootNode.line = syntaxErr.line
		r.reportValue(rootNode, syntaxErr.value, syntaxErr.message, "correct the YAML syntax")
		return nil
	case len(tree.Docs) == 0 || tree.Docs[0].Body == nil:
		r.report(rootNode, "is empty", "write version, data-centres, pools, services and accounts")
		return nil
	case len(tree.Docs) > 1:
		rootNode.line = lineOf(tree.Docs[1].Body, 1)
		r.report(rootNode, "holds more than one document", "keep one document")
		return nil
	}
	rootNode.node = tree.Docs[0].Body
	return rootNode
}

type syntaxProblem struct {
	line    int
	value   string
	message string
}

// parseYAML parses the YAML. A panic of the parser on malformed input becomes a syntax
// problem.
func parseYAML(data []byte) (tree *ast.File, problem *syntaxProblem) {
	defer func() {
		if v := recover(); v != nil {
			tree, problem = nil, &syntaxProblem{line: 1, message: fmt.Sprintf("cannot be parsed: %v", v)}
		}
	}()
	tokens := lexer.Tokenize(string(data))
	if problem := checkTokens(tokens); problem != nil {
		return nil, problem
	}
	tree, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return nil, syntaxProblemOf(err)
	}
	return tree, nil
}

func syntaxProblemOf(err error) *syntaxProblem {
	p := &syntaxProblem{line: 1, message: "is not valid YAML: " + err.Error()}
	if parseErr, ok := err.(parserError); ok {
		p.message = "is not valid YAML: " + parseErr.GetMessage()
		if t := parseErr.GetToken(); t != nil && t.Position != nil {
			p.line, p.value = t.Position.Line, t.Value
		}
	}
	return p
}

// checkTokens rejects anchors, aliases, tags, merge keys, explicit keys and deep
// nesting before the recursive parser runs, because a stack overflow would end the
// process. It also limits the fields of one mapping, adjacent scalars and missing
// values, for which the parser takes quadratic time or more: 1 MB of "- a:" lines
// took 84 s.
func checkTokens(tokens token.Tokens) *syntaxProblem {
	depth, lineNesting, line, fields, adjacentScalars, missingValues := 0, 0, 0, 0, 0, 0
	for i, t := range tokens {
		if lacksValue(tokens, i) {
			missingValues++
		}
		if t.Position.Line != line {
			line, lineNesting = t.Position.Line, 0
		}
		adjacentScalars++
		switch t.Type {
		case token.AnchorType, token.AliasType, token.TagType, token.MergeKeyType, token.MappingKeyType:
			return &syntaxProblem{line, t.Value, "anchors, aliases, tags, merge keys and explicit keys are not allowed"}
		case token.MappingStartType, token.SequenceStartType:
			depth++
			lineNesting++
			fields, adjacentScalars = 0, 0
		case token.MappingEndType, token.SequenceEndType:
			depth--
			adjacentScalars = 0
		case token.SequenceEntryType:
			lineNesting++
			fields, adjacentScalars = 0, 0
		case token.MappingValueType:
			lineNesting++
			fields++
			adjacentScalars = 0
		case token.CollectEntryType:
			lineNesting, adjacentScalars = 0, 0
		case token.CommentType:
			adjacentScalars--
		case token.InvalidType:
			return &syntaxProblem{line, strings.TrimSpace(t.Value), "is not valid YAML: " + t.Error}
		}
		switch {
		case depth > maxNesting || lineNesting > maxNesting:
			return &syntaxProblem{line, t.Value, "is nested too deeply"}
		case missingValues > maxFields:
			return &syntaxProblem{line, t.Value, "has too many fields without a value"}
		case fields > maxFields || adjacentScalars > maxFields:
			return &syntaxProblem{line, t.Value, "has too many fields or values in one mapping"}
		}
	}
	return nil
}

// lacksValue reports whether the token is a mapping colon or a list dash without a
// value.
func lacksValue(tokens token.Tokens, i int) bool {
	t := tokens[i]
	if t.Type != token.MappingValueType && t.Type != token.SequenceEntryType {
		return false
	}
	nextIndex := i + 1
	for nextIndex < len(tokens) && tokens[nextIndex].Type == token.CommentType {
		nextIndex++
	}
	if nextIndex == len(tokens) {
		return true
	}
	next, startPosition := tokens[nextIndex], t.Position
	switch next.Type {
	case token.CollectEntryType, token.MappingEndType, token.SequenceEndType:
		return true
	}
	if t.Type == token.MappingValueType && i > 0 {
		startPosition = tokens[i-1].Position // the key
	}
	if next.Position.Line == t.Position.Line || next.Position.Column > startPosition.Column {
		return false
	}
	// The elements of a list may be indented as far as the key of the list.
	return t.Type == token.SequenceEntryType || next.Type != token.SequenceEntryType || next.Position.Column < startPosition.Column
}

// parserError is the interface of the parser's errors that have a position.
type parserError interface {
	GetMessage() string
	GetToken() *token.Token
}
