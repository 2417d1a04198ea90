package integration_test

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
)

// The ports of daemons are below the ephemeral ports, which the system assigns to outgoing connections. A free port
// that was found by listening on port 0 was taken by such a connection before the daemon listened on it in about one of
// ten runs.
const (
	firstPort = 20_000
	portCount = 12_000
)

// nextPort counts the ports that were tried. It starts at a value that depends on the process ID, so that concurrent
// runs rarely try the same ports.
var nextPort atomic.Int64

func init() { nextPort.Store(int64(os.Getpid()) * 37 % portCount) }

// freeAddresses returns n loopback addresses on which nothing listens.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()

	var a []string

	for range portCount {
		if len(a) == n {
			return a
		}

		v := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%portCount)

		l, err := net.Listen("tcp", v)
		if err != nil {
			continue
		}

		l.Close()

		a = append(a, v)
	}

	t.Fatal("no free port was found")

	return nil
}
