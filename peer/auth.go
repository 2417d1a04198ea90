package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

const (
	nonceBytes = 32
	// handshakeTimeout bounds the exchange before the first message.
	handshakeTimeout = 2 * time.Second
)

var errAuth = errors.New("the peer does not know a valid key")

// Keys are the shared keys of the daemons. The first one is proved to others; any of them is accepted, so that a
// key can be changed while all daemons run.
type Keys struct {
	keys [][]byte
}

// NewKeys returns keys. Without any, connections are not authenticated; settings require one unless the peer address is loopback.
func NewKeys(k []string) Keys {
	var l Keys
	for _, v := range k {
		l.keys = append(l.keys, []byte(v))
	}

	return l
}

// computeProof shows knowledge of key k for both nonces in one direction.
func computeProof(k []byte, role string, a, b []byte) []byte {
	h := hmac.New(sha256.New, k)
	_, _ = h.Write([]byte(role))
	_, _ = h.Write(a)
	_, _ = h.Write(b)

	return h.Sum(nil)
}

func (l Keys) primary() []byte {
	if len(l.keys) == 0 {
		return nil
	}

	return l.keys[0]
}

// verify returns whether p is a proof with any of the keys, and which.
func (l Keys) verify(p []byte, role string, a, b []byte) ([]byte, bool) {
	keys := l.keys
	if len(keys) == 0 {
		keys = [][]byte{nil}
	}

	for _, k := range keys {
		if hmac.Equal(p, computeProof(k, role, a, b)) {
			return k, true
		}
	}

	return nil, false
}

// clientHandshake authenticates a connection from the client's side: nonces cross, the client proves a key and the server
// proves the same one.
func (l Keys) clientHandshake(c net.Conn) error {
	return withHandshakeTimeout(c, func() error {
		own, other, err := exchangeNonces(c)
		if err != nil {
			return err
		}

		if _, err := c.Write(computeProof(l.primary(), "client", own, other)); err != nil {
			return err
		}

		p := make([]byte, sha256.Size)
		if _, err := io.ReadFull(c, p); err != nil {
			return fmt.Errorf("%w: %w", errAuth, err)
		}

		if !hmac.Equal(p, computeProof(l.primary(), "server", other, own)) {
			return errAuth
		}

		return nil
	})
}

// serverHandshake authenticates a connection from the server's side.
func (l Keys) serverHandshake(c net.Conn) error {
	return withHandshakeTimeout(c, func() error {
		own, other, err := exchangeNonces(c)
		if err != nil {
			return err
		}

		p := make([]byte, sha256.Size)
		if _, err := io.ReadFull(c, p); err != nil {
			return err
		}

		k, ok := l.verify(p, "client", other, own)
		if !ok {
			return errAuth
		}

		_, err = c.Write(computeProof(k, "server", own, other))

		return err
	})
}

// exchangeNonces sends a nonce and reads the other side's.
func exchangeNonces(c net.Conn) (own, other []byte, err error) {
	own, other = make([]byte, nonceBytes), make([]byte, nonceBytes)
	_, _ = rand.Read(own)

	if _, err := c.Write(own); err != nil {
		return nil, nil, err
	}

	_, err = io.ReadFull(c, other)

	return own, other, err
}

func withHandshakeTimeout(c net.Conn, f func() error) error {
	if err := c.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return err
	}

	if err := f(); err != nil {
		return err
	}

	return c.SetDeadline(time.Time{})
}
