// Package soak runs front hosts as separate processes against stand-ins of the
// platform, and disturbs them from outside while callers use them: processes are
// suspended, killed, stopped and started again; paths to the store and to
// targets are cut or go silent; the store is down; weights and configurations
// change. A seed decides all of it.
//
//	go test ./internal/soak -seeds 50 -seconds 20 -first 1000
//
// While it runs and when it ends, it checks what callers and targets have seen
// against the promises of the platform's pages.
package soak
