package socket_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/peer"
	"hibiscuslb/hibiscusfront/internal/backend"
	"hibiscuslb/hibiscusfront/internal/ingress"
	"hibiscuslb/platform"
)

// keepAlive tells how long the kernel keeps a quiet connection whose peer is gone. It sends a probe after Idle and
// one each Interval, and gives up after Count of them; if UserTimeout is not zero, it gives up after that time,
// whatever the count. No probes are sent while bytes are not acknowledged.
type keepAlive struct {
	On             bool
	Idle, Interval time.Duration
	Count          int
	UserTimeout    time.Duration
}

func keepAliveOf(t *testing.T, fd int) keepAlive {
	t.Helper()
	option := func(level, name int) int {
		value, err := unix.GetsockoptInt(fd, level, name)
		require.NoError(t, err)
		return value
	}
	return keepAlive{
		On:          option(unix.SOL_SOCKET, unix.SO_KEEPALIVE) != 0,
		Idle:        time.Duration(option(unix.IPPROTO_TCP, unix.TCP_KEEPIDLE)) * time.Second,
		Interval:    time.Duration(option(unix.IPPROTO_TCP, unix.TCP_KEEPINTVL)) * time.Second,
		Count:       option(unix.IPPROTO_TCP, unix.TCP_KEEPCNT),
		UserTimeout: time.Duration(option(unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)) * time.Millisecond,
	}
}

// descriptorOf returns the descriptor of this process's socket that is bound to the address.
func descriptorOf(t *testing.T, local net.Addr) int {
	t.Helper()
	entries, err := os.ReadDir("/proc/self/fd")
	require.NoError(t, err)
	for _, entry := range entries {
		fd, err := strconv.Atoi(entry.Name())
		require.NoError(t, err)
		name, err := unix.Getsockname(fd)
		if err != nil {
			continue // no socket, or closed meanwhile
		}
		if v4, ok := name.(*unix.SockaddrInet4); ok && v4.Port == local.(*net.TCPAddr).Port {
			return fd
		}
	}
	require.Fail(t, "no socket is bound to the address", "%v", local)
	return 0
}

// TestKeepAliveOfConnections states what each kind of connection sets: the default of package net, which sets no
// TCP_USER_TIMEOUT, and neither do the libraries. It keeps a quiet connection whose peer is gone for 150 s.
func TestKeepAliveOfConnections(t *testing.T) {
	standard := keepAlive{On: true, Idle: 15 * time.Second, Interval: 15 * time.Second, Count: 9}
	for _, test := range []struct {
		name string
		open func(ctx context.Context, address fleet.Address) error
		want keepAlive
	}{
		{"request to a target", func(ctx context.Context, address fleet.Address) error {
			_, err := new(backend.Pool).Send(ctx, &backend.Request{ID: "1", Target: "t", Address: address, Method: http.MethodGet, URI: "/", Host: "h"})
			return err
		}, standard},
		{"call to a target", func(ctx context.Context, address fleet.Address) error {
			_, err := platform.NewTargetClient().WatchCache(ctx, address, 0, time.Second)
			return err
		}, standard},
		{"order to a target", func(ctx context.Context, address fleet.Address) error {
			_, err := platform.NewTargetClient().SendOrder(ctx, address, "t", platform.LoadOrder{})
			return err
		}, standard},
		{"object store", func(ctx context.Context, address fleet.Address) error {
			_, err := (&platform.Store{Address: address}).List(ctx, "servers")
			return err
		}, standard},
		{"another host", func(ctx context.Context, address fleet.Address) error {
			peers := peer.Pool{Key: "k"}
			go peers.Run(ctx)
			for { // it can't be used before it runs
				if _, err := peers.Open(ctx, address, 1, nil); ctx.Err() != nil || !errors.As(err, new(*peer.DialError)) {
					return err
				}
			}
		}, standard},
		{"caller, directory, readiness, or host that dialled", nil, standard},
	} {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if test.open == nil {
				l, err := ingress.Listen(ctx, "127.0.0.1:0", 0, nil)
				require.NoError(t, err)
				defer l.Close()
				client, err := net.Dial("tcp", l.Addr().String())
				require.NoError(t, err)
				defer client.Close()
				conn, err := l.Accept()
				require.NoError(t, err)
				defer conn.Close()
				raw, err := conn.(*ingress.Conn).Conn.(*net.TCPConn).SyscallConn()
				require.NoError(t, err)
				require.NoError(t, raw.Control(func(fd uintptr) { require.Equal(t, test.want, keepAliveOf(t, int(fd))) }))
				return
			}
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			opened := make(chan error, 1)
			go func() { opened <- test.open(ctx, fleet.Address(l.Addr().String())) }()
			conn, err := l.Accept()
			require.NoError(t, err)
			defer conn.Close()
			_, err = conn.Read(make([]byte, 1)) // from then on all options are set
			require.NoError(t, err)
			require.Equal(t, test.want, keepAliveOf(t, descriptorOf(t, conn.RemoteAddr())))
			cancel()
			require.Error(t, <-opened)
		})
	}
}
