// Command cases plays the cases of the review: it starts the front hosts of the project as
// processes, with stand-ins for the platform's store, the engines and the consumers.
//
//	cases NAME ROOT RECORD
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit statuses.
const (
	held   = 0
	broken = 1
	failed = 2
)

// trouble reports whether the disruption is played.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: cases NAME ROOT RECORD")
		os.Exit(failed)
	}
	play, ok := map[string]func(*site) (bool, error){
		"versions": playVersions, "isolated": playIsolated, "bodies": playBodies, "proof": playProof, "stops": playStops,
	}[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(failed)
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	s, err := newSite(rec, os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		s.close()
		rec.tell("the case was ended before it was over")
		os.Exit(failed)
	}()
	rec.add("case %s, disruption %t", os.Args[1], trouble())
	isBroken, err := play(s)
	s.close()
	switch {
	case err != nil:
		rec.tell("the case could not run: %v", err)
		os.Exit(failed)
	case isBroken:
		rec.tell("the rule was broken")
		os.Exit(broken)
	}
	rec.tell("the rule held")
	os.Exit(held)
}
