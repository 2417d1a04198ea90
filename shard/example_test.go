package shard_test

import (
	"fmt"

	"github.com/agategap/agategap/shard"
)

func ExampleRank() {
	n := []string{"vm-1", "vm-2", "vm-3"}
	r := shard.Rank("signwriter-4", n)
	fmt.Println(len(r), r[0] == shard.First("signwriter-4", n))
	// Output: 3 true
}
