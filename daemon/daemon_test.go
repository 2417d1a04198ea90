package daemon_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"math/big"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/daemon"
	"github.com/agategap/agategap/peer"
	"github.com/agategap/agategap/settings"
	"github.com/agategap/agategap/tlsfile"
)

// writeCertificate writes a self-signed certificate and its key to dir and returns settings with their paths.
func writeCertificate(dir string) (settings.TLS, error) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return settings.TLS{}, err
	}

	c := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true}

	d, err := x509.CreateCertificate(rand.Reader, c, c, &k.PublicKey, k)
	if err != nil {
		return settings.TLS{}, err
	}

	e, err := x509.MarshalECPrivateKey(k)
	if err != nil {
		return settings.TLS{}, err
	}

	t := settings.TLS{Certificate: filepath.Join(dir, "c.pem"), Key: filepath.Join(dir, "k.pem")}
	if err := os.WriteFile(t.Certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: d}), 0o600); err != nil {
		return t, err
	}

	return t, os.WriteFile(t.Key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: e}), 0o600)
}

// Guards against a listener that accepts unencrypted connections although the settings ask for TLS, and against request
// headers of unlimited size.
func TestListenersUseTLS(t *testing.T) {
	Convey("Given a daemon with TLS for callers and for other daemons", t, func() {
		c, err := writeCertificate(t.TempDir())
		So(err, ShouldBeNil)

		p := c
		p.Authority = c.Certificate

		const key, any = "0123456789abcdef", "127.0.0.1:0"

		d, err := daemon.New(settings.Daemon{
			VM: "e", FailureDomain: "d", CallerAddress: any, OperatorAddress: any, PeerAddress: any, Platform: "127.0.0.1:1",
			PeerKeys: []string{key}, CallerTLS: c, PeerTLS: p,
		}, zerolog.Nop())
		So(err, ShouldBeNil)

		x, stop := context.WithCancel(context.Background())
		done := make(chan error, 1)

		go func() { done <- d.Run(x) }()

		Reset(func() { stop(); <-done })

		Convey("callers are served over TLS only, and large headers are refused", func() {
			h := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}

			a, err := h.Get("https://" + d.CallerAddress() + "/v1/none")
			So(err, ShouldBeNil)
			So(a.StatusCode, ShouldEqual, http.StatusServiceUnavailable)

			b, err := io.ReadAll(a.Body)
			So(err, ShouldBeNil)
			So(string(b), ShouldContainSubstring, `"code":"not_ready"`)
			So(string(b), ShouldContainSubstring, `"outcome":"not_run"`)

			r, _ := http.NewRequest(http.MethodGet, "https://"+d.CallerAddress()+"/v1/none", nil)
			r.Header.Set("X-Large", strings.Repeat("x", 64<<10))

			a, err = h.Do(r)
			So(err, ShouldBeNil)
			So(a.StatusCode, ShouldEqual, http.StatusRequestHeaderFieldsTooLarge)

			a, err = http.Get("http://" + d.CallerAddress() + "/v1/none")
			So(err, ShouldBeNil)
			So(a.StatusCode, ShouldEqual, http.StatusBadRequest)
		})
		Convey("other daemons are served over TLS only", func() {
			f, err := tlsfile.New(p.Certificate, p.Key, p.Authority, time.Now)
			So(err, ShouldBeNil)

			y, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()

			var v string

			k := peer.NewClient(peer.NewKeys([]string{key}))
			defer k.Close()

			So(k.Call(y, d.PeerAddress(), "No.Method", "", &v).Error(), ShouldNotContainSubstring, "can't find service")

			k.UseTLS(f.ClientConfig())
			So(k.Call(y, d.PeerAddress(), "No.Method", "", &v).Error(), ShouldContainSubstring, "can't find service")
		})
	})
	Convey("A missing certificate file makes New fail", t, func() {
		const any = "127.0.0.1:0"

		_, err := daemon.New(settings.Daemon{
			CallerAddress: any, OperatorAddress: any, PeerAddress: any, Platform: "127.0.0.1:1",
			CallerTLS: settings.TLS{Certificate: "none.pem", Key: "none.pem"},
		}, zerolog.Nop())
		So(err, ShouldNotBeNil)
	})
}
