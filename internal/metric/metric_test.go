package metric_test

import (
	"expvar"
	"fmt"

	"curranthold.example/curranthold/internal/metric"
)

func ExampleNewGroup() {
	group := metric.NewGroup("example")
	group.Int("calls").Add(2)
	group.IntMap("refused-by-code").Add("overloaded", 1)
	fmt.Println(expvar.Get("curranthold-example"))
	// Output: {"calls": 2, "refused-by-code": {"overloaded": 1}}
}
