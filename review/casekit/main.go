//go:build review

// Command casekit plays the cases of the review: it starts front ends as processes with the
// command of the deploy file, against stand-ins for the store, the engines and the clients in
// its own process.
//
//	casekit CASE DIR
//
// It writes DIR/record.txt and exits with 1 if the rule was broken, 0 if it held and 2 if the
// case could not run. TROUBLE=0 leaves the disruption out; SEED sets the seed.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// maxPlayTime is the longest time that a case may take.
const maxPlayTime = 115 * time.Second

// cases holds the cases by name. They return whether the rule was broken.
var cases = map[string]func(s *site, trouble bool, seed uint64) (broken bool, err error){
	"garbled-head":  playGarbledHead,
	"lost-seeds":    playLostSeeds,
	"many-routes":   playManyRoutes,
	"left-engine":   playLeftEngine,
	"paused-stream": playPausedStream,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: casekit CASE DIR")
		return 2
	}
	seed, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	if err != nil {
		seed = 1
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	s, err := newSite(rec)
	if err != nil {
		rec.printf("could not run: %v", err)
		return 2
	}
	defer s.close()
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
		select {
		case <-signals:
		case <-time.After(maxPlayTime):
		}
		rec.printf("could not run: ended early")
		s.close()
		os.Exit(2)
	}()
	broken, err := cases[os.Args[1]](s, os.Getenv("TROUBLE") != "0", seed)
	switch {
	case err != nil:
		rec.printf("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken:
		rec.printf("the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	}
	rec.printf("the rule held")
	fmt.Println("the rule held")
	return 0
}
