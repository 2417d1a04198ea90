package integration_test

import (
	"net"
	"testing"
)

// freeAddresses returns addresses on loopback that nobody listens on. All are held until the last one is found, so
// that they differ.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()

	var a []string

	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()

		a = append(a, l.Addr().String())
	}

	return a
}
