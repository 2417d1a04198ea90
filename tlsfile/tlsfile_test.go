package tlsfile_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/tlsfile"
)

// writeCertificate makes a self-signed certificate and its key, with file times that differ by serial number.
func writeCertificate(dir string, serial int64) error {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}

	c := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "test"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
	}

	d, err := x509.CreateCertificate(rand.Reader, c, c, &k.PublicKey, k)
	if err != nil {
		return err
	}

	e, err := x509.MarshalECPrivateKey(k)
	if err != nil {
		return err
	}

	t := time.Unix(1_700_000_000+serial, 0)

	for n, b := range map[string]*pem.Block{"cert.pem": {Type: "CERTIFICATE", Bytes: d}, "key.pem": {Type: "EC PRIVATE KEY", Bytes: e}} {
		p := filepath.Join(dir, n)
		if err := os.WriteFile(p, pem.EncodeToMemory(b), 0o600); err != nil {
			return err
		}

		if err := os.Chtimes(p, t, t); err != nil {
			return err
		}
	}

	return nil
}

// presentedSerial returns the serial number of the certificate that a listener shows.
func presentedSerial(f *tlsfile.Files, client *tls.Config) (int64, error) {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()

	s, c := tls.Server(a, f.ServerConfig()), tls.Client(b, client)

	go func() {
		_ = s.Handshake()
		_, _ = s.Write([]byte{1})
	}()

	_ = b.SetDeadline(time.Now().Add(5 * time.Second))

	// The other side's check of the client's certificate shows up at the first read.
	if _, err := c.Read(make([]byte, 1)); err != nil {
		return 0, err
	}

	return c.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

// Guards against a renewed certificate that needs a restart, and against a broken file that ends service.
func TestCertificatesAreReloaded(t *testing.T) {
	Convey("Given a listener with certificate files", t, func() {
		d := t.TempDir()
		now := time.Now()
		clock := func() time.Time { return now }
		cert, key := filepath.Join(d, "cert.pem"), filepath.Join(d, "key.pem")
		So(writeCertificate(d, 1), ShouldBeNil)

		f, err := tlsfile.New(cert, key, cert, clock)
		So(err, ShouldBeNil)

		n, err := presentedSerial(f, f.ClientConfig())
		So(err, ShouldBeNil)
		So(n, ShouldEqual, 1)

		Convey("a new certificate is used without a restart", func() {
			So(writeCertificate(d, 2), ShouldBeNil)

			now = now.Add(2 * time.Second)

			n, err := presentedSerial(f, f.ClientConfig())
			So(err, ShouldBeNil)
			So(n, ShouldEqual, 2)
		})
		Convey("a broken file leaves the earlier certificate in use and is reported", func() {
			So(os.WriteFile(key, []byte("broken"), 0o600), ShouldBeNil)

			now = now.Add(2 * time.Second)

			n, err := presentedSerial(f, f.ClientConfig())
			So(err, ShouldBeNil)
			So(n, ShouldEqual, 1)
			So(f.Err(), ShouldNotBeNil)
		})
		Convey("a client without a certificate of the authority is refused", func() {
			_, err := presentedSerial(f, &tls.Config{InsecureSkipVerify: true})
			So(err, ShouldNotBeNil)
		})
		Convey("a listener with a certificate of another authority is refused", func() {
			o := t.TempDir()
			So(writeCertificate(o, 3), ShouldBeNil)

			g, err := tlsfile.New(filepath.Join(o, "cert.pem"), filepath.Join(o, "key.pem"), "", clock)
			So(err, ShouldBeNil)

			_, err = presentedSerial(g, f.ClientConfig())
			So(err, ShouldNotBeNil)
		})
	})
	Convey("A missing file is reported at the start", t, func() {
		_, err := tlsfile.New("none.pem", "none.pem", "", time.Now)
		So(err, ShouldNotBeNil)
	})
}
