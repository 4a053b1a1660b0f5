package servicetext

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/rattanscale/rattanscale/internal/failure"
)

// MaxPrintedProblems limits the problems in the message of an error. ProblemsOf returns
// all of them.
const MaxPrintedProblems = 1000

// maxPrintedValueBytes limits the quoted value in the message of one problem.
const maxPrintedValueBytes = 120

// Problem is one error in a service text. Path is the path of the YAML node, such as
// pools[0].name.
type Problem struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Path    string `json:"path"`
	Value   string `json:"value"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// String returns the problem as "file:line: path: value: problem; remedy: ...".
func (p Problem) String() string {
	value := p.Value
	if len(value) > maxPrintedValueBytes {
		value = strings.ToValidUTF8(value[:maxPrintedValueBytes], "") + "..."
	}
	return fmt.Sprintf("%s:%d: %s: %q: %s; remedy: %s", p.File, p.Line, p.Path, value, p.Message, p.Remedy)
}

// Problems holds all errors of a service text, sorted by line.
type Problems []Problem

// Error returns one line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, 0, min(len(ps), MaxPrintedProblems)+1)
	for i, p := range ps {
		if i == MaxPrintedProblems {
			lines = append(lines, fmt.Sprintf("and %d more", len(ps)-i))
			break
		}
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// ProblemsOf returns the problems in the chain of an error of Parse, or nil.
func ProblemsOf(err error) Problems {
	var ps Problems
	if errors.As(err, &ps) {
		return ps
	}
	return nil
}

func (ps Problems) failure() error {
	slices.SortStableFunc(ps, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
	return failure.New(failure.InvalidServiceText, "%w", ps)
}
