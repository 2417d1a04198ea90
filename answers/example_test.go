package answers_test

import (
	"fmt"

	"github.com/agategap/agategap/answers"
)

func ExampleGenerate() {
	r, err := answers.Generate("q.toml", []byte(`
platform = {failure_domains = ["a"]}
targets = [{name = "billing", kind = "plain"}]
flows = [{name = "notices", targets = "billing", form = "online", deadline = "5s", may_repeat = false}]
`))
	if err != nil {
		fmt.Println(err)
	}

	for _, v := range r.Reasons() {
		if v.Setting() == "services[0].record" {
			fmt.Println(v)
		}
	}
	// Output: services[0].record = true  # q.toml:4: flows[0].may_repeat: work that may not run twice is recorded before it is sent
}
