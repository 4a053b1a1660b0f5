//go:build reviewcase

// Command case plays one case of the review: it starts the system's processes against stand-ins of
// the store, engines and clients, and exits with 1 if the rule was broken, 0 if it held and 2 if the
// case could not run. TROUBLE=0 leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	held   = 0
	broken = 1
	failed = 2
)

// limit ends a case that hangs.
const limit = 115 * time.Second

func main() {
	cases := map[string]func(*site, bool) (bool, error){"queued-run": queuedRun, "long-prompt": longPrompt, "silent-crash": silentCrash, "silent-part": silentPart}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: case NAME FOLDER")
		os.Exit(failed)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(f func(*site, bool) (bool, error), folder string) int {
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	s, err := newSite(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer s.close()
	type result struct {
		broken bool
		err    error
	}
	results := make(chan result, 1)
	go func() {
		b, err := f(s, os.Getenv("TROUBLE") != "0")
		results <- result{b, err}
	}()
	select {
	case got := <-results:
		switch {
		case got.err != nil:
			r.add("the case could not run: %v", got.err)
			fmt.Println("could not run:", got.err)
			return failed
		case got.broken:
			return broken
		}
		return held
	case <-time.After(limit):
		r.add("the case took too long")
		fmt.Println("could not run: it took too long")
		return failed
	}
}

// verdict writes the result of a case.
func (s *site) verdict(isBroken bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	word := "HELD"
	if isBroken {
		word = "BROKEN"
	}
	s.record.add("verdict   %s: %s", word, text)
	fmt.Println(word+":", text)
}
