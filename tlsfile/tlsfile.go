// Package tlsfile makes TLS configurations from files and reads the files again when they change, so that a
// certificate is renewed without a restart.
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

// checkInterval is the shortest time between two looks at the file times.
const checkInterval = time.Second

// Files are the certificate, the private key and the authorities of one listener.
type Files struct {
	certificatePath string
	keyPath         string
	authorityPath   string
	clock       func() time.Time

	mu      sync.Mutex
	checkedAt time.Time
	modTimes   [3]time.Time
	keyPair    *tls.Certificate
	authorities    *x509.CertPool
	err     error
}

// New reads the files. authority is empty when the other side shows no certificate.
func New(certificate, key, authority string, clock func() time.Time) (*Files, error) {
	f := &Files{certificatePath: certificate, keyPath: key, authorityPath: authority, clock: clock}
	if err := f.loadIfChanged(); err != nil {
		return nil, err
	}

	return f, nil
}

// Err returns why changed files could not be read; the earlier ones stay in use.
func (f *Files) Err() error {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.err
}

// ServerConfig returns the configuration of a listener. With authorities it requires a certificate of the other side.
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

// ClientConfig returns the configuration of connections to other daemons. VMs are replaced at any time and are known by
// their IP numbers only, so the authority is checked and the name in the certificate is not.
func (f *Files) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS12,
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection checks the chain
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			p, _ := f.current()

			return p, nil
		},
		VerifyConnection: func(s tls.ConnectionState) error {
			_, a := f.current()
			if len(s.PeerCertificates) == 0 || a == nil {
				return errors.New("the other side shows no certificate, or no authority is set")
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

// current returns what the files hold, reading them again when one has changed. Files that cannot be read leave
// the earlier values in use, as a certificate and its key are not replaced in one step.
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
		return nil, nil //nolint:nilnil // no authority is set
	}

	b, err := os.ReadFile(f.authorityPath)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}

	p := x509.NewCertPool()
	if !p.AppendCertsFromPEM(b) {
		return nil, trace.BadParameter("%s has no certificates", f.authorityPath)
	}

	return p, nil
}
