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

// Guards against a job that an operator cannot stop while its failure domain is cut off from the others.
func TestOperatorStopsAJob(t *testing.T) {
	Convey("Given an operator interface with a job stopper", t, func() {
		h := operator.New(nil, http.NotFoundHandler(), nil).WithJobStopper(fakeStopper{"job-1": 3}).Handler()
		post := func(path string) (int, string) {
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, nil))

			return w.Code, w.Body.String()
		}

		Convey("the response to a stop has the number of shards that this daemon ran", func() {
			code, body := post("/jobs/job-1/stop")
			So(code, ShouldEqual, http.StatusOK)
			So(body, ShouldContainSubstring, `"stopped_shards":3`)
		})
		Convey("an identifier that is too long is refused", func() {
			code, _ := post("/jobs/" + strings.Repeat("x", 65) + "/stop")
			So(code, ShouldEqual, http.StatusBadRequest)
		})
	})
}
