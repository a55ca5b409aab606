package node

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/configuration"
	"curranthold.example/curranthold/internal/key"
	"curranthold.example/curranthold/internal/peer"
	"curranthold.example/curranthold/internal/standin"
	"curranthold.example/curranthold/pkg/object"
)

type noPeers struct{}

func (noPeers) Call(context.Context, string, string, any, any) error { return peer.ErrNotSent }

// TestIsKeyWithdrawn checks a valid, a withdrawn and an unknown key.
func TestIsKeyWithdrawn(t *testing.T) {
	n := &Node{configuration: configuration.New(configuration.Config{
		Host: "own", Zone: "a", Table: standin.NewTable(), Peers: noPeers{},
	})}
	n.configuration.SetHosts([]configuration.Host{{ID: "own", Zone: "a", Address: "own"}})
	done := make(chan error, 1)
	go func() { done <- n.configuration.Run(context.Background()) }()
	<-n.configuration.Ready()
	_, valid := key.Generate("valid", "bern")
	_, withdrawn := key.Generate("withdrawn", "bern")
	withdrawn.Withdrawn = true
	specs := map[string]object.Spec{
		"bern": object.ClientAccountSpec{Rate: 1, Burst: 1}, "valid": valid, "withdrawn": withdrawn,
	}
	var drafts []configuration.Draft
	for name, spec := range specs {
		drafts = append(drafts, configuration.Draft{ID: object.ID{Kind: spec.Kind(), Name: name}, Spec: spec, AnyVersion: true})
	}
	_, err := n.configuration.Apply(t.Context(), configuration.Operation{
		ID: "setup", Operator: "test", Action: "apply", Request: []byte("setup"),
		Plan: func(*configuration.Snapshot) ([]configuration.Draft, error) { return drafts, nil },
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, n.isKeyWithdrawn("withdrawn"), qt.IsTrue)
	qt.Check(t, n.isKeyWithdrawn("valid"), qt.IsFalse)
	qt.Check(t, n.isKeyWithdrawn("unknown"), qt.IsFalse)
	qt.Assert(t, n.configuration.Close(), qt.IsNil)
	qt.Check(t, <-done, qt.IsNil)
}
