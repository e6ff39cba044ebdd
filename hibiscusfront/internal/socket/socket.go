// Package socket sets options of the sockets through which requests and answers pass.
package socket

import "syscall"

// bufferBytes bounds what the kernel keeps for a connection in each direction, which counts as memory of
// the host. Without a bound it keeps megabytes for a peer that reads nothing. Linux allots twice as
// much, of which its own records take a part. With half of it, only one segment is under way on a loopback
// link, and its acknowledgement is delayed by 40 ms.
const bufferBytes = 64 << 10

// BoundBuffers is a Control function of net.ListenConfig and net.Dialer that bounds the buffers of the
// kernel. Accepted connections inherit those of their listener.
func BoundBuffers(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		for _, option := range []int{syscall.SO_RCVBUF, syscall.SO_SNDBUF} {
			if err := syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, option, bufferBytes); err != nil {
				failed = err
			}
		}
	})
	if err != nil {
		return err
	}
	return failed
}
