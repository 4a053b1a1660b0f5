// Package docs checks the documentation against the code.
package docs

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rattanscale/rattanscale/internal/failure"
	"github.com/rattanscale/rattanscale/internal/frontend"
	"github.com/rattanscale/rattanscale/internal/settings"
)

func operationsPage(t *testing.T) string {
	text, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	return string(text)
}

// requireRow requires a table row whose first cell is the name and that contains the parts.
func requireRow(t *testing.T, page, name string, parts ...string) {
	t.Helper()
	lacksPart := func(line string) bool {
		return slices.ContainsFunc(parts, func(part string) bool { return !strings.Contains(line, part) })
	}
	for line := range strings.Lines(page) {
		if strings.HasPrefix(line, "| `"+name+"` |") && !lacksPart(line) {
			return
		}
	}
	t.Errorf("docs/OPERATIONS.md has no row for `%s` with %q", name, parts)
}

// Guards against settings that are missing from the page.
func TestSettingsAreDocumented(t *testing.T) {
	text := operationsPage(t)
	var visit func(prefix string, row reflect.Type)
	visit = func(prefix string, row reflect.Type) {
		for i := range row.NumField() {
			field := row.Field(i)
			path := prefix + strings.Split(field.Tag.Get("yaml"), ",")[0]
			if field.Type.Kind() == reflect.Struct {
				visit(path+".", field.Type)
				continue
			}
			requireRow(t, text, path)
		}
	}
	visit("", reflect.TypeFor[settings.Settings]())
	visit("", reflect.TypeFor[frontend.Settings]())
}

// Guards against error kinds that are missing from the page or have another status or
// remedy there.
func TestErrorKindsAreDocumented(t *testing.T) {
	text := operationsPage(t)
	for kind, remedy := range failure.Remedies() {
		requireRow(t, text, string(kind), fmt.Sprintf("| %d |", failure.New(kind, "").Status()), remedy)
	}
}

// Guards against metrics, timeline events and log messages that are missing from
// the page. Their names are extracted from string literals in the sources.
func TestEmittedNamesAreDocumented(t *testing.T) {
	patterns := []*regexp.Regexp{
		regexp.MustCompile("[\"`](rattanscale_[a-z_]+)"),
		regexp.MustCompile(`[rR]ecord\("([^"]+)"`),
		regexp.MustCompile(`(?:[lL]og|[lL]ogger|V\(1\))\.(?:Info|Error)\((?:[^"]*, )?"([^"]+)"`),
		regexp.MustCompile(`[lL]ogger\.Error\(fmt\.Errorf\("[^"]*", \w+\), "([^"]+)"`),
	}
	text, matchCounts := operationsPage(t), make([]int, len(patterns))
	visit := func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		for i, literal := range patterns {
			for _, match := range literal.FindAllSubmatch(source, -1) {
				matchCounts[i]++
				if name := string(match[1]); !strings.Contains(name, "%") {
					requireRow(t, text, name)
				}
			}
		}
		return err
	}
	require.NoError(t, filepath.WalkDir("..", visit))
	require.NoError(t, filepath.WalkDir("../../platform", visit))
	require.NotContains(t, matchCounts, 0, "a pattern matches nothing in the sources")
}
