//go:build crowd

package soak_test

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
)

// A crowdKind is one way to use up a host: each client sends a head, and then all of a body except the
// end. Its connection stays open.
type crowdKind struct {
	name    string
	clients int
	address func(*host) string
	head    func(client int) string // may be nil
	body    func(piece int) []byte  // may be nil
	// inTurn makes the clients send piece by piece, each after the others, and reads makes them read what
	// they get.
	inTurn, reads bool
}

func toCallers(h *host) string { return h.callers }

func toDirectory(h *host) string { return h.directory }

// toPeers returns the address for other hosts, which has the first port of the range in the settings.
func toPeers(h *host) string {
	text, err := os.ReadFile(h.settings)
	if err != nil {
		return ""
	}
	_, text, _ = bytes.Cut(text, []byte("portRange: ["))
	port, _, _ := bytes.Cut(text, []byte(","))
	ip, _, _ := net.SplitHostPort(h.callers)
	return net.JoinHostPort(ip, string(port))
}

// startOf returns the start of the head of a request.
func startOf(client int, key string) string { return startTo("/order/x", client, key) }

func startTo(path string, client int, key string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nX-Hibiscuslb-Request-Id: c-%d\r\nX-Hibiscuslb-Deadline-Ms: 20000\r\nAuthorization: Token %s\r\n", path, client, key)
}

// withLength returns a head that announces a body of some length.
func withLength(length int) func(int) string {
	return func(client int) string {
		return startOf(client, "key-w") + fmt.Sprintf("Content-Length: %d\r\n\r\n", length)
	}
}

func chunkedHead(client int) string {
	return startOf(client, "key-w") + "Transfer-Encoding: chunked\r\n\r\n"
}

// shortLines fills a head up to its longest legal length with lines of few bytes.
func shortLines(client int) string {
	var head strings.Builder
	head.WriteString(startOf(client, "key-w"))
	const end = "Content-Length: 10\r\n\r\n"
	for i := 0; head.Len() < crowdHead-len(end)-8; i++ {
		fmt.Fprintf(&head, "%s:\r\n", strconv.FormatInt(int64(i+36), 36))
	}
	return head.String() + end
}

// oddLines fills a head with lines that are continued, have empty values, or names that are not in
// the usual form, and leaves out its end.
func oddLines(client int) string {
	var head strings.Builder
	head.WriteString(startOf(client, "key-w"))
	for i := 0; head.Len() < crowdHead-shortOfEnd-16; i++ {
		fmt.Fprintf(&head, "!%s:\t\r\n \r\n", strconv.FormatInt(int64(i+36), 36))
	}
	return head.String()
}

// inPieces returns a body of the length but for its end, in pieces.
func inPieces(length, piece int) func(int) []byte {
	data := bytes.Repeat([]byte("x"), piece)
	return func(n int) []byte { return data[:max(0, min(piece, length-shortOfEnd-n*piece))] }
}

// whole returns a complete body.
func whole(length int) func(int) []byte {
	data := bytes.Repeat([]byte("x"), length)
	return func(n int) []byte {
		if n > 0 {
			return nil
		}
		return data
	}
}

// inLines returns lines of three bytes, of the length.
func inLines(length int) func(int) []byte {
	const line = "a:\n"
	return func(n int) []byte { return bytes.Repeat([]byte(line), min(1000, max(0, length/len(line)-n*1000))) }
}

// inTrailer returns an empty chunked body with a trailer of the length, which does not end.
func inTrailer(length int) func(int) []byte {
	const line = "a:\r\n"
	return func(n int) []byte {
		switch {
		case n == 0:
			return []byte("0\r\n")
		case n <= length/(1000*len(line)):
			return bytes.Repeat([]byte(line), 1000)
		}
		return nil
	}
}

var promptNumber atomic.Int64

// prompts returns as many complete requests, whose prompts have thousands of parts of their own, and
// the start of one more.
func prompts(requests int) func(int) []byte {
	return func(n int) []byte {
		if n > requests {
			return nil
		}
		var head strings.Builder
		number := promptNumber.Add(1)
		head.WriteString(startTo("/talk/x", int(number), "key-w"))
		fmt.Fprintf(&head, "X-Hibiscuslb-Model: %s\r\nX-Hibiscuslb-Token-Usage: 100,2\r\nX-Hibiscuslb-Prefix-Hash: ", model)
		for i := 0; head.Len() < crowdHead-200; i++ {
			fmt.Fprintf(&head, "%x%03x:1,", number, i)
		}
		head.WriteString("f:1\r\nContent-Length: 0\r\n\r\n")
		if n == requests {
			return []byte(head.String())[:head.Len()-shortOfEnd]
		}
		return []byte(head.String())
	}
}

// longParts is like prompts, with parts of their own: a shared one and the last one, one of which has the longest
// legal ID.
func longParts(requests int) func(int) []byte {
	return func(n int) []byte {
		if n > requests {
			return nil
		}
		number := promptNumber.Add(1)
		head := startTo("/talk/x", int(number), "key-w") + fmt.Sprintf("X-Hibiscuslb-Model: %s\r\nX-Hibiscuslb-Token-Usage: 100,2\r\nX-Hibiscuslb-Prefix-Hash: %x", model, number)
		const end = ":1\r\nContent-Length: 0\r\n\r\n"
		long := strings.Repeat("p", crowdHead-len(head)-len(end)-len(":1,f"))
		if n%2 == 0 {
			head += long + ":1,f" + end
		} else {
			head += ":1,f" + long + end
		}
		if n == requests {
			return []byte(head)[:len(head)-shortOfEnd]
		}
		return []byte(head)
	}
}

// oneChunk returns a body that is one chunk but for its end.
func oneChunk(length, piece int) func(int) []byte {
	rest := inPieces(length, piece)
	return func(n int) []byte {
		if n == 0 {
			return fmt.Appendf(nil, "%x\r\n", length)
		}
		return rest(n - 1)
	}
}

// smallChunks returns a body in chunks of one byte, without the last chunk.
func smallChunks(length, piece int) func(int) []byte {
	data := bytes.Repeat([]byte("1\r\nx\r\n"), piece)
	return func(n int) []byte { return data[:max(0, min(piece, length-shortOfEnd-n*piece))*6] }
}

var crowdKinds = []crowdKind{
	{name: "heads of short lines", clients: 300, address: toCallers, head: shortLines},
	{name: "heads of odd lines", clients: 450, address: toCallers, head: oddLines},
	{name: "bodies whole", clients: 64, address: toCallers, head: withLength(crowdBody), body: inPieces(crowdBody, crowdBody)},
	{name: "bodies in pieces", clients: 64, address: toCallers, head: withLength(crowdBody), body: inPieces(crowdBody, 16<<10), inTurn: true},
	{name: "one chunk", clients: 64, address: toCallers, head: chunkedHead, body: oneChunk(crowdBody, 64<<10)},
	{name: "small chunks", clients: 64, address: toCallers, head: chunkedHead, body: smallChunks(2<<20, 16<<10)},
	{name: "heads without end", clients: 300, address: toCallers, body: inLines(300 << 10),
		head: func(client int) string { return startOf(client, "key-w") }},
	{name: "trailers without end", clients: 300, address: toCallers, body: inTrailer(300 << 10),
		head: chunkedHead},
	{name: "bodies to a target that reads nothing", clients: 64, address: toCallers, body: whole(crowdBody),
		head: func(client int) string {
			return startTo("/stuck/x", client, "key-w") + fmt.Sprintf("Content-Length: %d\r\n\r\n", crowdBody)
		}},
	{name: "answers that nobody reads", clients: 200, address: toCallers,
		head: func(client int) string { return startTo("/long/x", client, "key-w") + "Content-Length: 0\r\n\r\n" }},
	{name: "prompts of thousands of parts", clients: 90, address: toCallers, body: prompts(300), reads: true},
	{name: "prompts of long parts", clients: 90, address: toCallers, body: longParts(300), reads: true},
	{name: "small bodies", clients: 1200, address: toCallers, head: withLength(1 << 10), body: inPieces(1<<10, 1<<10)},
	{name: "small bodies without a valid key", clients: 1200, address: toCallers, body: inPieces(1<<10, 1<<10),
		head: func(client int) string { return startOf(client, "none") + "Content-Length: 1024\r\n\r\n" }},
	{name: "silent connections at the address for hosts", clients: 1200, address: toPeers},
	{name: "bodies at the directory", clients: 1200, address: toDirectory, body: inPieces(64<<10, 64<<10),
		head: func(int) string {
			return "GET /-/lookup?region=r&zone=z HTTP/1.1\r\nHost: h\r\nContent-Length: 65536\r\n\r\n"
		}},
}
