// Package kernel builds the handler chain of a call from registered stages.
package kernel

import (
	"context"
	"fmt"
)

// Handler serves a call or returns an error.
type Handler[C any] func(ctx context.Context, call C) error

// Stage is one step of the chain. It handles its part of the call, and either calls
// next or returns without calling it.
type Stage[C any] func(ctx context.Context, call C, next Handler[C]) error

// Registry holds the factories of stages by name. S is the type that the factories
// take, C the type of the calls. The zero value is an empty registry.
type Registry[S, C any] struct {
	factories map[string]func(S) Stage[C]
}

// Register adds the factory of the named stage. It panics if the name is already
// registered. It must not be called concurrently, and is meant for package
// initialization.
func (r *Registry[S, C]) Register(name string, factory func(S) Stage[C]) {
	if r.factories == nil {
		r.factories = make(map[string]func(S) Stage[C])
	}
	if _, taken := r.factories[name]; taken {
		panic(fmt.Sprintf("kernel: stage %q is registered twice", name))
	}
	r.factories[name] = factory
}

// Build returns a handler that runs the named stages in the given order. The last
// stage must not call next: its next does nothing but return an error.
func (r *Registry[S, C]) Build(services S, order ...string) (Handler[C], error) {
	handler := Handler[C](func(context.Context, C) error {
		return fmt.Errorf("kernel: the last stage of %v passed the call on", order)
	})
	for i := len(order) - 1; i >= 0; i-- {
		factory, ok := r.factories[order[i]]
		if !ok {
			return nil, fmt.Errorf("kernel: no stage %q is registered", order[i])
		}
		handler = bind(factory(services), handler)
	}
	return handler, nil
}

func bind[C any](stage Stage[C], next Handler[C]) Handler[C] {
	return func(ctx context.Context, call C) error {
		return stage(ctx, call, next)
	}
}
