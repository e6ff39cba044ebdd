// Package soak runs front hosts as separate processes against stand-ins of the
// platform and injects faults from outside while callers send requests:
// processes are suspended, killed, stopped and restarted; connections to the
// store and to targets are cut or stop carrying data; the store refuses calls;
// weights and configurations change. The seed determines the sequence of faults
// and of requests.
//
//	go test ./internal/soak -seeds 50 -seconds 20 -first 1000
//
// In a rolling upgrade, hosts of earlier commits, whose programs are built from the
// repository's history, are replaced by hosts of today's build while such faults come:
//
//	go test ./internal/soak -run RollingUpgrade -upgrades 50 -old 47e4e4c,404c058
//
// After the run, the test compares the answers that callers received with the
// requests that targets executed, and checks them against the guarantees in the
// platform's documentation.
package soak
