// Package relay sends requests by way of other hosts to targets that this host can't reach.
//
// A host sends the requests of its callers to targets itself. If it has lost the way to a target, as
// its Ways know, or can't open a connection, it asks another host to send the request: the Sender of
// the one host and the Server of the other. The other host sends it directly, so that there is one
// hop at most, and returns the answer in pieces as it arrives.
//
// Invariants:
//   - A request is on one way at a time. The host that is asked opens its connection, says that it is
//     ready, and sends nothing before the word of the asking host, which has the body and for which it waits no
//     longer than goLimit and what the body takes. Until it has given that word, the asking host may take another way; afterwards only if it
//     hears that the request was not sent. So one that may not be repeated is sent at most once, and a
//     host that stands still sends nothing that was given up or decided long ago.
//   - The end of an answer is a part of its own. A connection between hosts that is lost, or an
//     exchange that ends otherwise, never looks like the end of an answer, however it is framed.
//   - The relaying host sends nothing to a target that its own view excludes or that has closed
//     itself to it, and learns from the answer like from one to a request of its own.
//   - Both hosts keep at most a window of an answer whose receiver is slow, in pieces of any size, and pass
//     on a bounded number of requests at a time. What is over that is refused, truly not sent. Bodies,
//     heads and windows draw on budgets; when that of windows is spent they are small.
//   - When the caller leaves or the request is withdrawn, the exchange is cancelled, and the
//     relaying host closes its connection to the target.
//
// Connections that were open can live on while new ones are refused. They are used as long as they do.
//
// A target that no host reaches is gone; one that another host reaches is not. A host that is asked
// says which of both it sees, and whether it is cut off itself. A target is reported as
// unreachable only if another host has no way to it either, or if there was no other host to ask.
//
// Load patterns:
//   - A host is parted from all targets for seconds. Its requests are spread over the others by a hash
//     of the request, those of its data centre first.
//   - Most hosts are parted, or all of a data centre. Those that are say so at once, and aren't asked for
//     askAgain; after nearFirst hosts of its data centre a host asks any.
//   - An engine crashes. The first requests for it find that another host has no way to it either;
//     for gone, no one else is asked.
//   - A host that is asked stands still. It is not ready in time, and another one is asked.
//   - The relaying host dies midway. Requests on it have an unknown outcome, as if the target's
//     connection had been lost.
package relay

import "time"

const (
	// shortDial limits the opening of a connection to a target if another host can be asked. A
	// target that is up accepts a connection within milliseconds.
	shortDial = 150 * time.Millisecond
	// windowBytes is how much of an answer may be under way to a host that has not read it, as
	// wire.RelayCost counts it, and minWindowBytes how much if the budget of answers is spent.
	windowBytes    = 32 << 10
	minWindowBytes = 8 << 10
	// pieceBytes is the longest piece of an answer.
	pieceBytes = 8 << 10
	// freeHeadBytes is the length of the head of an answer that draws on no budget.
	freeHeadBytes = 4 << 10
	// bodyCopies is how often a host that asks has a request's body while it sends it to another one, and
	// how often that one has what it received while the request runs.
	bodyCopies = 2
	// maxBodyBytes is the longest body of a request that is relayed.
	maxBodyBytes = 1 << 20
	// maxRelayed is how many requests a host relays for others at a time, and has relayed.
	maxRelayed = 512
	// maxAsked is how many hosts are asked for a request. Those that do not send it say so at once.
	maxAsked = 8
	// nearFirst is how many of these are of this host's data centre, if there are as many.
	nearFirst = 2
	// askAgain is how long a host that is cut off, or not ready in time, is not asked.
	askAgain = time.Second
	// connectTimeout limits the opening of a connection to another host.
	connectTimeout = 300 * time.Millisecond
	// readyLimit is how long a host that is asked may take until it is ready.
	readyLimit = shortDial + 250*time.Millisecond
	// goLimit is how long a host that is ready waits for the word to send, and bodyRate the bytes of its
	// body a second that have to come in addition.
	goLimit  = 400 * time.Millisecond
	bodyRate = 256 << 10
	// lately is how long ago an answer still shows that a host reaches targets, if one target
	// refused a connection within refusedWithin and no other did.
	lately        = 300 * time.Millisecond
	refusedWithin = 50 * time.Millisecond
)
