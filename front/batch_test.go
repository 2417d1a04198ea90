package front_test

import (
	"strconv"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/front"
	"github.com/agategap/agategap/journal"
)

// Guards against an error for a malformed batch that reports only the first invalid line or a wrong line number.
func TestParseItemsReportsAllBadLines(t *testing.T) {
	Convey("All invalid lines are reported with their numbers", t, func() {
		_, err := front.ParseItems([]byte(`{"custom_id":"a","body":{}}
not json

{"body":{}}
{"custom_id":"a","body":{}}
{"custom_id":"long","body":{"x":"` + strings.Repeat("x", front.MaxLineBytes) + `"}}
{"custom_id":"b","body":[]}
{"custom_id":"` + strings.Repeat("c", front.MaxCustomIDBytes+1) + `","body":{}}
`))
		So(err, ShouldNotBeNil)

		l := strings.Split(err.Error(), "\n")
		So(len(l), ShouldEqual, 6)

		for i, w := range []string{
			"body:2: line: not valid JSON", "body:4: custom_id: is required", `body:5: custom_id: "a" is already used in line 1`,
			"body:6: line: has 262", "body:7: body: is not a JSON object", "body:8: custom_id: has 257 bytes",
		} {
			So(l[i], ShouldStartWith, w)
		}
	})
	Convey("Too many items are rejected", t, func() {
		var b strings.Builder
		for i := range journal.MaxJobItems + 5 {
			b.WriteString(`{"custom_id":"` + strconv.Itoa(i) + `","body":{}}` + "\n")
		}

		_, err := front.ParseItems([]byte(b.String()))
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, "more than 150000 items")
	})
}

// Guards against batch bodies that make the parser panic or accept an item that cannot be encoded later.
func FuzzParseItems(f *testing.F) {
	for _, s := range []string{
		"", "\n\n", `{"custom_id":"a","body":{}}`, "{\"custom_id\":\"a\",\"body\":{}}\r\n{\"custom_id\":\"b\",\"body\": {\"x\":1}}",
		"{", "null", `{"custom_id":1}`, "\x00", `{"custom_id":"\ud800","body":{}}`,
	} {
		f.Add([]byte(s))
	}

	f.Fuzz(func(t *testing.T, b []byte) {
		l, err := front.ParseItems(b)
		if err != nil {
			return
		}

		seen := map[string]bool{}

		for _, i := range l {
			if i.CustomID == "" || seen[i.CustomID] || len(i.Body) == 0 || i.Body[0] != '{' {
				t.Errorf("item %q with body %q was accepted", i.CustomID, i.Body)
			}

			seen[i.CustomID] = true
		}
	})
}
