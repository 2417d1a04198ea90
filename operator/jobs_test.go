package operator_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/operator"
)

type fakeStopper map[string]int

func (s fakeStopper) StopJob(id string) int { return s[id] }

// Guards against a job in a cut-off failure domain that its operator cannot stop.
func TestOperatorStopsAJob(t *testing.T) {
	Convey("Given an operator interface with jobs", t, func() {
		h := operator.New(nil, http.NotFoundHandler(), nil).WithJobStopper(fakeStopper{"job-1": 3}).Handler()
		post := func(path string) (int, string) {
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, nil))

			return w.Code, w.Body.String()
		}

		Convey("a stop says how many shards ran here", func() {
			code, body := post("/jobs/job-1/stop")
			So(code, ShouldEqual, http.StatusOK)
			So(body, ShouldContainSubstring, `"stopped_shards":3`)
		})
		Convey("an identifier that cannot be one is refused", func() {
			code, _ := post("/jobs/" + strings.Repeat("x", 65) + "/stop")
			So(code, ShouldEqual, http.StatusBadRequest)
		})
	})
}
