// Package proptest runs property-based tests with a fixed seed, so that a test has
// the same result in every run.
//
// The environment variable FUZZ_SEED sets another seed, and FUZZ_FACTOR multiplies
// the number of checks, for longer runs.
package proptest

import (
	"flag"
	"os"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

const (
	defaultSeed    = 20261204
	seedVariable   = "FUZZ_SEED"
	factorVariable = "FUZZ_FACTOR"
)

// Check checks the property the given number of times. State machines in it take
// the given number of steps on average.
func Check(t *testing.T, checks, steps int, property func(*rapid.T)) {
	t.Helper()
	setFlag(t, "rapid.seed", envInt(t, seedVariable, defaultSeed))
	setFlag(t, "rapid.checks", checks*envInt(t, factorVariable, 1))
	setFlag(t, "rapid.steps", steps)
	setFlag(t, "rapid.nofailfile", 1)
	rapid.Check(t, property)
}

// envInt returns the value of an environment variable, or the default if it is not
// set.
func envInt(t *testing.T, variable string, defaultValue int) int {
	t.Helper()
	text, ok := os.LookupEnv(variable)
	if !ok {
		return defaultValue
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("proptest: environment variable %s: want an integer: %v", variable, err)
	}
	return n
}

// setFlag sets a flag of package rapid, unless the command line has set it.
func setFlag(t *testing.T, name string, value int) {
	t.Helper()
	onCommandLine := false
	flag.Visit(func(f *flag.Flag) { onCommandLine = onCommandLine || f.Name == name && !changedFlags[name] })
	if onCommandLine {
		return
	}
	if changedFlags == nil {
		changedFlags = make(map[string]bool)
	}
	changedFlags[name] = true
	if err := flag.Set(name, strconv.Itoa(value)); err != nil {
		t.Fatalf("proptest: set flag %s to %d: %v", name, value, err)
	}
}

// changedFlags holds the flags that setFlag has set. It needs no lock, since tests
// that call Check do not run in parallel.
var changedFlags map[string]bool
