package soak_test

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// Ports lie below the kernel's ephemeral range, so that no outgoing connection takes one between the check and
// its use. They are divided into blocks. Each test process takes one of its own, so that it gets none of the ports
// of another one whose host has ended and will start again.
const firstPort, portBlocks, blockPorts = 20_000, 12, 1000

// ports are the ports of this process. The block is taken as long as the file is locked.
var ports struct {
	sync.Mutex
	file        *os.File
	first, next int
}

// takeBlock takes a block of ports; ports is locked.
func takeBlock(t *testing.T) {
	t.Helper()
	for block := range portBlocks {
		file, err := os.OpenFile(filepath.Join(os.TempDir(), fmt.Sprint("hibiscuslb-soak-ports-", block)), os.O_CREATE|os.O_RDWR, 0o600)
		require.NoError(t, err)
		if syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) == nil {
			ports.file, ports.first = file, firstPort+block*blockPorts
			return
		}
		require.NoError(t, file.Close())
	}
	t.Fatalf("other tests use all %d blocks of ports from %d on", portBlocks, firstPort)
}

// freePorts returns the first of n consecutive free ports.
func freePorts(t *testing.T, n int) int {
	t.Helper()
	ports.Lock()
	defer ports.Unlock()
	if ports.file == nil {
		takeBlock(t)
	}
	for range blockPorts {
		port := ports.first + ports.next
		ports.next = (ports.next + n) % (blockPorts - n)
		free := true
		for i := 0; i < n && free; i++ {
			l, err := net.Listen("tcp", address(port+i))
			if free = err == nil; free {
				free = l.Close() == nil
			}
		}
		if free {
			return port
		}
	}
	t.Fatalf("no %d consecutive free ports between %d and %d", n, ports.first, ports.first+blockPorts)
	return 0
}
