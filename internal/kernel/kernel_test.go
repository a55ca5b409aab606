package kernel_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/kernel"
)

func pass(name string) func(string) kernel.Stage[*[]string] {
	return func(prefix string) kernel.Stage[*[]string] {
		return func(ctx context.Context, call *[]string, next kernel.Handler[*[]string]) error {
			*call = append(*call, prefix+name)
			return next(ctx, call)
		}
	}
}

var errLast = errors.New("end of the chain")

func end(string) kernel.Stage[*[]string] {
	return func(context.Context, *[]string, kernel.Handler[*[]string]) error { return errLast }
}

func ExampleRegistry() {
	var stages kernel.Registry[string, *[]string]
	stages.Register("first", pass("first"))
	stages.Register("second", pass("second"))
	stages.Register("end", end)
	handler, _ := stages.Build("stage-", "first", "second", "end")
	var seen []string
	err := handler(context.Background(), &seen)
	fmt.Println(seen, err)
	// Output: [stage-first stage-second] end of the chain
}

func TestBuildRefusesUnknownStages(t *testing.T) {
	var stages kernel.Registry[string, *[]string]
	_, err := stages.Build("", "missing")
	qt.Assert(t, err, qt.ErrorMatches, `kernel: no stage "missing" is registered`)
}

func TestLastStageMustNotCallNext(t *testing.T) {
	var stages kernel.Registry[string, *[]string]
	stages.Register("only", pass("only"))
	handler, err := stages.Build("", "only")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, handler(context.Background(), new([]string)), qt.IsNotNil)
}
