// Package e2e contains the end-to-end tests of hibiscusd. They run real hibiscusd
// processes against stand-ins for targets, stores and the platform, and inject
// faults: killed and frozen processes, cut and silent connections, outages of the
// platform, lost answers, restarts of targets and concurrent changes by operators.
//
// The tests check counters of the targets and the contents of answers, not
// durations. They wait for conditions; the time-outs of these waits only end a
// test that fails.
package e2e
