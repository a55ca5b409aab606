package entry

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/call"
	"curranthold.example/curranthold/internal/peer"
)

// olderOwner has the methods that an owner had before packed messages.
type olderOwner struct{ calls *atomic.Int64 }

func (o olderOwner) Call(request *call.Request, answer *call.Answer) error {
	o.calls.Add(1)
	*answer = call.Answer{ID: request.ID, Status: http.StatusOK, Header: request.Header, Body: request.Body}
	answer.Seal()
	return nil
}

// newerOwner also takes packed messages.
type newerOwner struct{ olderOwner }

func (o newerOwner) Exchange(packed, reply *call.Packed) error {
	request, err := packed.Request()
	if err != nil {
		return err
	}
	var answer call.Answer
	_ = o.Call(request, &answer)
	*reply = answer.Pack()
	return nil
}

// generations implements peer.GenerationTracker.
type generations struct{}

func (generations) Current() uint64        { return 1 }
func (generations) Observe(uint64, string) {}

// TestExchange sends calls to nodes of this build and of an older one over real
// connections. Each call must reach its owner exactly once.
func TestExchange(t *testing.T) {
	var calls atomic.Int64
	tests := map[string]any{
		"this build":  newerOwner{olderOwner{&calls}},
		"older build": olderOwner{&calls},
		"malformed":   malformedOwner{},
	}
	for name, receiver := range tests {
		t.Run(name, func(t *testing.T) {
			calls.Store(0)
			server := peer.NewServer(nil, generations{})
			served := name == "this build" || name == "older build"
			qt.Assert(t, server.Register("Owner", receiver), qt.IsNil)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			go func() { _ = server.Serve(listener) }()
			pool := peer.NewPool(nil, "127.0.0.1:7", generations{})
			x := exchanger{peers: pool}
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			for n := int64(1); n <= 3; n++ {
				request := &call.Request{ID: "id", Header: http.Header{"X": {"y"}}, Body: []byte("body")}
				answer, err := x.exchange(ctx, listener.Addr().String(), request)
				qt.Check(t, err == nil, qt.Equals, served, qt.Commentf("%v", err))
				if served {
					qt.Check(t, answer.Matches(request), qt.IsTrue)
					qt.Check(t, answer.Header, qt.DeepEquals, request.Header)
					qt.Check(t, string(answer.Body), qt.Equals, "body")
					qt.Check(t, calls.Load(), qt.Equals, n)
				}
			}
			qt.Check(t, pool.Close(), qt.IsNil)
			qt.Check(t, server.Close(), qt.IsNil)
		})
	}
}

// malformedOwner answers with a message that can't be decoded.
type malformedOwner struct{}

func (malformedOwner) Exchange(_, reply *call.Packed) error {
	reply.Data = []byte{9}
	return nil
}
