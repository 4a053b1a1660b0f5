package servicetext

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/rattanscale/rattanscale/internal/failure"
)

// MaxPrintedProblems bounds the problems in the text of an error; the typed value holds all of them.
const MaxPrintedProblems = 1000

// maxPrintedValueBytes bounds the quoted value of one problem, in bytes.
const maxPrintedValueBytes = 120

// Problem is one error of a service text.
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

// Problems holds every error of a service text, sorted by line.
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

// ProblemsOf returns the problems that an error of Parse carries, or nil.
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
