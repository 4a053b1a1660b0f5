//go:build review2

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// The exit statuses of a script.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// cases are the cases by name. A case returns whether the rule was broken.
var cases = map[string]func(w *world, trouble bool) (bool, error){
	"identifiers": longIdentifiers,
	"part":        crashingPart,
	"poison":      crashingRequest,
	"unread":      unreadAnswers,
}

// main runs one case: kit2 NAME FOLDER. The folder gets record.txt.
func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: kit2 CASE FOLDER")
		os.Exit(cannotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(name, folder string, trouble bool) int {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer func() { _ = file.Close() }()
	r := &record{file: file, start: time.Now()}
	w, err := newWorld(r)
	if err != nil {
		r.logf("cannot run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer w.close()
	isBroken, err := cases[name](w, trouble)
	switch {
	case err != nil:
		r.logf("cannot run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	case isBroken:
		r.logf("the rule was broken")
		return broken
	}
	r.logf("the rule held")
	return held
}
