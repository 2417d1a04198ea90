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
	// handshakeTimeout bounds the authentication of a new connection, with the TLS handshake if there is one.
	handshakeTimeout = 2 * time.Second
)

var errAuth = errors.New("the peer did not prove a valid key")

// Keys has the shared keys of the daemons. A client proves the first one and a server accepts any of them, so that a
// key can be changed while all daemons run.
type Keys struct {
	keys [][]byte
}

// NewKeys returns the keys in k. Without a key, connections are not authenticated; the settings require one unless the
// peer address is a loopback address.
func NewKeys(k []string) Keys {
	var l Keys
	for _, v := range k {
		l.keys = append(l.keys, []byte(v))
	}

	return l
}

// computeProof returns the HMAC by which one side, with its role, proves that it knows key k. It covers the nonces of
// both sides.
func computeProof(k []byte, role string, proverNonce, verifierNonce []byte) []byte {
	h := hmac.New(sha256.New, k)
	_, _ = h.Write([]byte(role))
	_, _ = h.Write(proverNonce)
	_, _ = h.Write(verifierNonce)

	return h.Sum(nil)
}

func (l Keys) primary() []byte {
	if len(l.keys) == 0 {
		return nil
	}

	return l.keys[0]
}

// verify returns the key of l with which proof was computed; false if there is none. Without keys it accepts a proof
// with the empty key.
func (l Keys) verify(proof []byte, role string, proverNonce, verifierNonce []byte) ([]byte, bool) {
	keys := l.keys
	if len(keys) == 0 {
		keys = [][]byte{nil}
	}

	for _, k := range keys {
		if hmac.Equal(proof, computeProof(k, role, proverNonce, verifierNonce)) {
			return k, true
		}
	}

	return nil, false
}

// clientHandshake authenticates a connection from the client's side: both sides send a nonce, the client proves its
// first key, and the server proves the same key.
func (l Keys) clientHandshake(c net.Conn) error {
	return withHandshakeTimeout(c, func() error {
		local, remote, err := exchangeNonces(c)
		if err != nil {
			return err
		}

		if _, err := c.Write(computeProof(l.primary(), "client", local, remote)); err != nil {
			return err
		}

		p := make([]byte, sha256.Size)
		if _, err := io.ReadFull(c, p); err != nil {
			return fmt.Errorf("%w: %w", errAuth, err)
		}

		if !hmac.Equal(p, computeProof(l.primary(), "server", remote, local)) {
			return errAuth
		}

		return nil
	})
}

// serverHandshake authenticates a connection from the server's side, as the counterpart of clientHandshake.
func (l Keys) serverHandshake(c net.Conn) error {
	return withHandshakeTimeout(c, func() error {
		local, remote, err := exchangeNonces(c)
		if err != nil {
			return err
		}

		p := make([]byte, sha256.Size)
		if _, err := io.ReadFull(c, p); err != nil {
			return err
		}

		k, ok := l.verify(p, "client", remote, local)
		if !ok {
			return errAuth
		}

		_, err = c.Write(computeProof(k, "server", local, remote))

		return err
	})
}

// exchangeNonces sends a random nonce and reads that of the other side.
func exchangeNonces(c net.Conn) (local, remote []byte, err error) {
	local, remote = make([]byte, nonceBytes), make([]byte, nonceBytes)
	_, _ = rand.Read(local)

	if _, err := c.Write(local); err != nil {
		return nil, nil, err
	}

	_, err = io.ReadFull(c, remote)

	return local, remote, err
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
