// Package fleet holds the vocabulary that every program of hibiscuslb shares:
// the identities of the things that make up a fleet and the units in which
// they are measured.
//
// A fleet is a set of regions; a region holds data centres; a data centre
// holds hosts, which run the system, and targets, which serve work. Callers
// belong to workspaces. Every identity is a type of its own, so that a host
// can not be passed where a target is meant.
//
// The package has no behaviour beyond formatting and arithmetic on its types.
package fleet

import (
	"strconv"
	"time"
)

// HostID names an entry host. One process runs on a host at any time.
type HostID string

// DataCentreID names a data centre.
type DataCentreID string

// RegionID names a region, a set of data centres that lie close together.
type RegionID string

// TargetID names a back end: a model engine or a plain service.
type TargetID string

// StoreID names a store host, which keeps cache blocks.
type StoreID string

// WorkspaceID names a customer's workspace.
type WorkspaceID string

// ModelID names a model, or the kind of a plain service.
type ModelID string

// WeightVersion names one set of weights of a model.
type WeightVersion string

// Class is the kind of a request within its workspace, such as "nudge".
type Class string

// RequestID names one attempt of a caller at a request.
type RequestID string

// Address is an IP number and a port, as in "127.0.0.1:7000".
type Address string

// Incarnation counts the lives of a host or target. It grows with every start.
type Incarnation uint64

// Epoch counts the holders of a duty. It grows with every change of holder
// and serves as the fencing number of orders.
type Epoch uint64

// Version is the version of an object in the platform's service. Zero means
// that the object does not exist.
type Version uint64

// Tokens counts tokens of a prompt or an answer.
type Tokens int

// Bytes counts bytes.
type Bytes int64

// ByteRate is a number of bytes per second.
type ByteRate int64

// TokenRate is a number of tokens per second.
type TokenRate int64

// Time returns how long n bytes take at the rate r, and zero for no rate.
func (r ByteRate) Time(n Bytes) time.Duration {
	if r <= 0 {
		return 0
	}
	return time.Duration(float64(n) / float64(r) * float64(time.Second))
}

// Time returns how long n tokens take at the rate r, and zero for no rate.
func (r TokenRate) Time(n Tokens) time.Duration {
	if r <= 0 {
		return 0
	}
	return time.Duration(float64(n) / float64(r) * float64(time.Second))
}

// Instant is a moment on one process's monotonic clock, counted from an
// arbitrary start. Instants of two processes can not be compared.
type Instant time.Duration

// Add returns the instant d later than i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from j to i.
func (i Instant) Sub(j Instant) time.Duration { return time.Duration(i - j) }

// String formats the instant as a duration since the clock's start.
func (i Instant) String() string { return time.Duration(i).String() }

// Clock reads a monotonic clock.
type Clock func() Instant

// MonotonicClock returns a clock that starts at one hour, so that the zero
// Instant lies long in the past.
func MonotonicClock() Clock {
	start := time.Now().Add(-time.Hour)
	return func() Instant { return Instant(time.Since(start)) }
}

// String formats the incarnation as a decimal number.
func (i Incarnation) String() string { return strconv.FormatUint(uint64(i), 10) }

// Outcome says what is known of a request that ended without a whole answer,
// or that ended with one.
type Outcome uint8

const (
	// NotRun means that no byte of the request left for a target, or that
	// the target provably refused it.
	OutcomeNotRun Outcome = iota
	// Ran means that the target answered.
	OutcomeRan
	// Unknown means that the request may or may not have run.
	OutcomeUnknown
)

// String returns the outcome as callers read it.
func (o Outcome) String() string {
	switch o {
	case OutcomeNotRun:
		return "not run"
	case OutcomeRan:
		return "ran"
	default:
		return "outcome unknown"
	}
}
