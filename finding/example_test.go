package finding_test

import (
	"fmt"

	"github.com/agategap/agategap/finding"
)

func ExampleList() {
	var l finding.List
	l.Addf("agategap.toml", 7, "caller_address", "%q is not an IP address with a port", "localhost:80")
	l.Addf("agategap.toml", 3, "failure_domain", "is required")
	fmt.Println(l.Err())
	// Output:
	// agategap.toml:3: failure_domain: is required
	// agategap.toml:7: caller_address: "localhost:80" is not an IP address with a port
}
