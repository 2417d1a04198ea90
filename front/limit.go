package front

import (
	"net/http"
	"time"

	"github.com/agategap/agategap/config"
)

// Limits on what a caller may send.
const (
	MaxBodyBytes     = config.MaxBodyBytes
	MaxBatchBytes    = config.MaxBatchBytes
	MaxLineBytes     = config.MaxLineBytes
	MaxKeyBytes      = 256
	MaxCustomIDBytes = 256

	// maxBatchBodies limits the batch bodies that are read at the same time. Each may take 64 MiB of the memory of a
	// small VM.
	maxBatchBodies = 4
	// maxWriteBytes is the largest part of a response that one write deadline covers, so that a caller on a slow
	// network receives a large response as long as it keeps reading.
	maxWriteBytes = 32 << 10

	defaultReadTimeout  = 30 * time.Second
	defaultWriteTimeout = 10 * time.Second
)

// withDeadlines sets the deadlines for reading a request and for each write of its response.
func (f *Frontend) withDeadlines(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := http.NewResponseController(w)

		// A reused connection still has the deadline of the last write of the previous response.
		_ = c.SetWriteDeadline(time.Now().Add(f.writeTimeout))

		if r.ContentLength != 0 {
			_ = c.SetReadDeadline(time.Now().Add(f.readTimeout))
		}

		b := &deadlineWriter{ResponseWriter: w, control: c, timeout: f.writeTimeout}
		h.ServeHTTP(b, r)

		// The server writes the rest of its buffer after the handler has returned.
		_ = c.SetWriteDeadline(time.Now().Add(f.writeTimeout))
	})
}

// deadlineWriter sets a new deadline for every write. This disconnects a caller that stops reading, but does not limit
// the duration of a stream.
type deadlineWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
}

// Write writes b in parts of at most maxWriteBytes, each with its own deadline.
func (w *deadlineWriter) Write(b []byte) (int, error) {
	n := 0

	for {
		_ = w.control.SetWriteDeadline(time.Now().Add(w.timeout))

		p := b[n:min(len(b), n+maxWriteBytes)]

		m, err := w.ResponseWriter.Write(p)
		n += m

		if err != nil || n == len(b) {
			return n, err
		}
	}
}

// Flush sends buffered data, with a new deadline.
func (w *deadlineWriter) Flush() {
	_ = w.control.SetWriteDeadline(time.Now().Add(w.timeout))
	_ = w.control.Flush()
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (w *deadlineWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
