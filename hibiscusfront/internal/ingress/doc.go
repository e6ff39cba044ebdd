// Package ingress accepts the connections of clients and bounds what they make a host hold.
//
// A client may send any request that the configuration allows, as slowly as the timeouts allow, and
// many clients may do so at once. A single request is bounded by its limits; this package bounds the
// sum. There are two limits, both derived from the memory and the descriptors of the host:
//
//   - The number of open connections. Each has a fixed cost: a goroutine, buffers, and the free part
//     of its hold, which is all that an ordinary request needs. At the limit, a new connection
//     takes the place of the one that has been quiet the longest of those that are not being
//     served, or that have read nothing of their answer for slowReadTime. If there is none, it is
//     closed.
//   - A holding.Budget for what goes beyond the free part: heads of very many lines, which take
//     several times their length in memory, and long bodies. When it is spent, a body that stands
//     still yields to others, and else the one that needs more is given up.
//
// A head that does not fit ends its connection without an answer. A request whose body does not
// fit is refused as not run before the body is read, or while it arrives; what is still
// to come is read and dropped for a moment, so that the client gets the answer.
//
// The buffers of the kernel count as memory of the host, too. They are bounded for each
// connection, and the host does not leave received bytes unread for long.
//
// Load patterns:
//   - Ordinary callers, each with one request at a time. No limit is met.
//   - A crowd of clients sends long bodies, whole or in pieces, with a length or in chunks, and most
//     stop just short of their end.
//   - A crowd sends heads of thousands of short lines, and keeps the requests open.
//   - More clients connect than the host has descriptors for, and send nothing or half a request.
//   - Clients ask for long answers and read nothing.
package ingress
