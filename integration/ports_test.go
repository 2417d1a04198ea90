package integration_test

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
)

// The ports of daemons lie below those that the system gives to outgoing connections. A port that was found free by
// listening on port 0 was taken by such a connection before the daemon listened on it, about once in ten runs.
const (
	firstPort = 20_000
	portCount     = 12_000
)

// nextPort starts at another port in each process, so that two runs at a time rarely try the same ones.
var nextPort atomic.Int64

func init() { nextPort.Store(int64(os.Getpid()) * 37 % portCount) }

// freeAddresses returns addresses on loopback that nobody listens on.
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
