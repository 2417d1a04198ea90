package integration_test

// The tests run the program as a process. This import makes a cached test result depend on its code.
import _ "github.com/agategap/agategap/internal/cmd"
