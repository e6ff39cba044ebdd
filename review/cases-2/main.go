// Command cases-2 plays the cases of the second review: it starts front hosts as processes, and stand-ins of the
// platform, the engines and the consumers in its own process.
//
//	cases-2 NAME BINARY RECORD
//
// The exit status is 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the
// environment the disruption is left out.
package main

import (
	"fmt"
	"os"
)

// cases are the cases by name.
var cases = map[string]func(r *record, binary string, trouble bool) (broken bool, err error){
	"crashpart": crashPart,
	"takeup":    takeUp,
	"upgrade":   upgrade,
}

func main() { os.Exit(run()) }

func run() int {
	const couldNotRun = 2
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases-2 NAME BINARY RECORD")
		return couldNotRun
	}
	r, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	defer r.close()
	broken, err := cases[os.Args[1]](r, os.Args[2], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.say("the case could not run: %v", err)
		return couldNotRun
	case broken:
		r.say("the rule was broken")
		return 1
	}
	r.say("the rule held")
	return 0
}
