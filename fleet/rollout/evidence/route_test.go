package evidence_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/rollout/evidence"
)

const second = time.Second

// record records n responses of a target, of which every bad-th failed; zero for none.
func record(e *evidence.Route, at time.Duration, target fleet.TargetID, isNew bool, n, bad int) {
	for i := range n {
		e.Record(fleet.Instant(at), 12*second, target, isNew, bad > 0 && (i+1)%bad == 0, 20*time.Millisecond)
	}
}

func Example() {
	var e evidence.Route
	for i, target := range []fleet.TargetID{"n1", "n2"} {
		for range 100 {
			e.Record(0, 12*second, "o", false, false, 20*time.Millisecond)
		}
		for j := range 20 {
			e.Record(0, 12*second, target, true, j%4 == i, 20*time.Millisecond)
		}
	}
	fraction, worse := e.Worse(false)
	fmt.Println(e.New(), e.Old(), fraction, worse)
	// Output: {40 10} {200 0} 0.25 true
}

// TestOneBadTargetMakesNoBadVersion guards against a test that rejects, or refutes nothing, because of one target.
func TestOneBadTargetMakesNoBadVersion(t *testing.T) {
	var e evidence.Route
	record(&e, 0, "o", false, 200, 0)
	record(&e, 0, "n1", true, 40, 2)
	record(&e, 0, "n2", true, 40, 0)
	_, worse := e.Worse(false)
	require.False(t, worse)
	require.True(t, e.Refuted(10, true))
	_, worse = e.Worse(true)
	require.True(t, worse, "the version has no other target")
}

// TestFaultUnderLoadIsNotDiluted guards against good responses without load that refute a fault which showed under load.
func TestFaultUnderLoadIsNotDiluted(t *testing.T) {
	var e evidence.Route
	record(&e, 0, "o", false, 20, 0)
	record(&e, 0, "n1", true, 10, 1)
	record(&e, 0, "n2", true, 10, 5)
	for i := range 10 {
		at := time.Duration(1+i) * second
		record(&e, at, "o", false, 30, 0)
		record(&e, at, "n3", true, 6, 0)
	}
	require.True(t, e.Refuted(10, true))
	require.True(t, e.FaultyUnderLoad(0, 3, false))
	require.False(t, e.FaultyUnderLoad(fleet.Instant(second), 3, false), "no fault since then")
}

// TestFailuresOfLostTargetAreTakenBack guards against a crash that counts as bad responses of the version.
func TestFailuresOfLostTargetAreTakenBack(t *testing.T) {
	var e evidence.Route
	record(&e, 0, "n1", true, 2, 1)
	record(&e, 2*second, "n1", true, 3, 1)
	require.Equal(t, 3, e.TargetLost(fleet.Instant(2500*time.Millisecond), "n1"))
	require.Equal(t, evidence.Tally{N: 2, Bad: 2}, e.New())
}
