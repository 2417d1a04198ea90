// Package tlsfile builds TLS configurations from certificate files and reloads the files when they change, so that a
// certificate can be renewed without a restart. The listeners for callers and for other daemons use it.
package tlsfile

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// checkInterval is the minimum interval between two checks of the file modification times.
const checkInterval = time.Second

// Files has the certificate, the private key and the authorities of one listener. It is safe for concurrent use.
type Files struct {
	certificatePath string
	keyPath         string
	authorityPath   string
	clock           func() time.Time

	mu          sync.Mutex
	checkedAt   time.Time
	modTimes    [3]time.Time
	keyPair     *tls.Certificate
	authorities *x509.CertPool
	err         error
}

// New loads the files. If authority is empty, listeners require no client certificate, and connections with
// ClientConfig fail.
func New(certificate, key, authority string, clock func() time.Time) (*Files, error) {
	f := &Files{certificatePath: certificate, keyPath: key, authorityPath: authority, clock: clock}
	if err := f.loadIfChanged(); err != nil {
		return nil, err
	}

	return f, nil
}

// Err returns the error of the last reload; nil if it succeeded. After a failed reload, the files loaded before stay in
// use.
func (f *Files) Err() error {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.err
}

// ServerConfig returns the configuration of a listener. If there are authorities, it requires a client certificate that
// one of them signed.
func (f *Files) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			p, a := f.current()

			c := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*p}, NextProtos: []string{"http/1.1"}}
			if a != nil {
				c.ClientCAs, c.ClientAuth = a, tls.RequireAndVerifyClientCert
			}

			return c, nil
		},
	}
}

// ClientConfig returns the configuration of connections to other daemons. VMs are replaced at any time and are known
// only by their IP addresses, so it verifies that an authority signed the certificate but not the name in it.
func (f *Files) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS12,
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection verifies the chain
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			p, _ := f.current()

			return p, nil
		},
		VerifyConnection: func(s tls.ConnectionState) error {
			_, a := f.current()
			if len(s.PeerCertificates) == 0 || a == nil {
				return errors.New("the server presented no certificate, or no authority is configured")
			}

			o := x509.VerifyOptions{Roots: a, Intermediates: x509.NewCertPool(), CurrentTime: f.clock()}
			for _, c := range s.PeerCertificates[1:] {
				o.Intermediates.AddCert(c)
			}

			_, err := s.PeerCertificates[0].Verify(o)

			return err
		},
	}
}

// current returns the certificate and the authorities, and first reloads the files if one has changed. When the reload
// fails, the values loaded before stay in use, because a certificate and its key are not replaced in one step.
func (f *Files) current() (*tls.Certificate, *x509.CertPool) {
	f.mu.Lock()
	due := f.clock().Sub(f.checkedAt) >= checkInterval
	f.mu.Unlock()

	if due {
		err := f.loadIfChanged()

		f.mu.Lock()
		f.err = err
		f.mu.Unlock()
	}

	f.mu.Lock()
	defer f.mu.Unlock()

	return f.keyPair, f.authorities
}

func (f *Files) loadIfChanged() error {
	f.mu.Lock()
	f.checkedAt = f.clock()
	before := f.modTimes
	f.mu.Unlock()

	var t [3]time.Time

	for i, p := range []string{f.certificatePath, f.keyPath, f.authorityPath} {
		if p == "" {
			continue
		}

		s, err := os.Stat(p)
		if err != nil {
			return trace.ConvertSystemError(err)
		}

		t[i] = s.ModTime()
	}

	if t == before {
		return nil
	}

	p, err := tls.LoadX509KeyPair(f.certificatePath, f.keyPath)
	if err != nil {
		return trace.Wrap(err, "reading %s and %s", f.certificatePath, f.keyPath)
	}

	a, err := f.loadAuthorities()
	if err != nil {
		return err
	}

	f.mu.Lock()
	defer f.mu.Unlock()

	f.keyPair, f.authorities, f.modTimes = &p, a, t

	return nil
}

func (f *Files) loadAuthorities() (*x509.CertPool, error) {
	if f.authorityPath == "" {
		return nil, nil //nolint:nilnil // no authority is configured
	}

	b, err := os.ReadFile(f.authorityPath)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}

	p := x509.NewCertPool()
	if !p.AppendCertsFromPEM(b) {
		return nil, trace.BadParameter("%s has no certificates in PEM format", f.authorityPath)
	}

	return p, nil
}
