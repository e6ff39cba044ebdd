// Package fuzzing runs stateful fuzz tests with a fixed seed, so that a test
// gives the same verdict each time.
//
// The variables FUZZ_SEED and FUZZ_FACTOR choose another seed and a multiple
// of the checks, for longer runs.
package fuzzing

import (
	"flag"
	"os"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

const (
	defaultSeed  = 20261204
	seedVariable = "FUZZ_SEED"
	manyVariable = "FUZZ_FACTOR"
)

// Check runs the property so many times, with state machines of so many steps
// on average.
func Check(t *testing.T, checks, steps int, property func(*rapid.T)) {
	t.Helper()
	set(t, "rapid.seed", number(t, seedVariable, defaultSeed))
	set(t, "rapid.checks", checks*number(t, manyVariable, 1))
	set(t, "rapid.steps", steps)
	set(t, "rapid.nofailfile", 1)
	rapid.Check(t, property)
}

func number(t *testing.T, variable string, otherwise int) int {
	t.Helper()
	text, ok := os.LookupEnv(variable)
	if !ok {
		return otherwise
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("fuzzing: %s: %v", variable, err)
	}
	return n
}

// set changes a flag of rapid, unless the command line has set it.
func set(t *testing.T, name string, value int) {
	t.Helper()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == name && !ours[name] })
	if given {
		return
	}
	if ours == nil {
		ours = make(map[string]bool)
	}
	ours[name] = true
	if err := flag.Set(name, strconv.Itoa(value)); err != nil {
		t.Fatalf("fuzzing: %v", err)
	}
}

// ours holds the flags that set has changed. Tests that use Check run one
// after the other.
var ours map[string]bool
