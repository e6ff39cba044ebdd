// Command cases-2 plays the cases of the second review: it starts front hosts as processes, and stand-ins of the
// platform, the engines and the consumers in its own process.
//
//	cases-2 NAME with|without BINARY RECORD
//
// The second argument tells whether the disruption is played. The exit status is 1 if the rule was broken, 0 if it
// held, and 2 if the case could not run.
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
	if len(os.Args) != 5 || cases[os.Args[1]] == nil || os.Args[2] != "with" && os.Args[2] != "without" {
		fmt.Fprintln(os.Stderr, "usage: cases-2 NAME with|without BINARY RECORD")
		return couldNotRun
	}
	name, trouble, binary := os.Args[1], os.Args[2] == "with", os.Args[3]
	r, err := newRecord(os.Args[4])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	defer r.close()
	r.say("case %s, %s the disruption", name, os.Args[2])
	broken, err := cases[name](r, binary, trouble)
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
