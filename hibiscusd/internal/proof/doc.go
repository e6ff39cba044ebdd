// Package proof holds the tests that run real hibiscusd processes among
// stand-ins and bring failures about: kills, freezes, cuts, silent
// connections, outages of the platform, lost answers, restarts of targets and
// racing operators.
//
// The tests judge by counts at the targets and by the contents of answers, not
// by how long things take. They wait for events; the limits of these waits
// only bound a test that fails.
package proof
