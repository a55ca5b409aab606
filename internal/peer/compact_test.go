package peer_test

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/call"
	"curranthold.example/curranthold/internal/peer"
)

var _ peer.Raw = (*call.Packed)(nil)

// mixed has methods with messages of both kinds.
type mixed struct{}

func (mixed) Say(args, reply *Text) error {
	reply.Value = args.Value
	return nil
}

func (mixed) Exchange(args, reply *call.Packed) error {
	if len(args.Data) == 0 {
		return errors.New("refused")
	}
	reply.Data = args.Data
	return nil
}

// TestBuilds guards against nodes of which one does not know the compact format and that
// misread each other's messages. Messages of all kinds alternate on one connection.
func TestBuilds(t *testing.T) {
	tests := map[string]struct{ earlierClient, earlierServer bool }{
		"both new":       {false, false},
		"earlier client": {true, false},
		"earlier server": {false, true},
		"both earlier":   {true, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := peer.NewServer(secret, new(recordedGenerations))
			qt.Assert(t, server.Register("Mixed", mixed{}), qt.IsNil)
			if test.earlierServer {
				server.ActAsEarlierBuild()
			}
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			done := make(chan error, 1)
			go func() { done <- server.Serve(listener) }()
			t.Cleanup(func() {
				qt.Check(t, server.Close(), qt.IsNil)
				qt.Check(t, <-done, qt.IsNil)
			})
			pool := newPool(t, secret, new(recordedGenerations))
			if test.earlierClient {
				pool.ActAsEarlierBuild()
			}
			var wg sync.WaitGroup
			for range 4 {
				wg.Go(func() { checkMixedCalls(t, pool, listener.Addr().String()) })
			}
			wg.Wait()
		})
	}
}

// checkMixedCalls makes calls of all kinds and checks their replies and errors.
func checkMixedCalls(t *testing.T, pool *peer.Pool, address string) {
	ctx := context.Background()
	for _, size := range []int{1, 300, 70_000, 2, 200_000, 3} {
		text := strings.Repeat("x", size)
		var reply Text
		qt.Check(t, pool.Call(ctx, address, "Mixed.Say", &Text{text}, &reply), qt.IsNil)
		qt.Check(t, reply.Value == text, qt.IsTrue)

		var packed call.Packed
		qt.Check(t, pool.Call(ctx, address, "Mixed.Exchange", &call.Packed{Data: []byte(text)}, &packed), qt.IsNil)
		qt.Check(t, string(packed.Data) == text, qt.IsTrue)

		err := pool.Call(ctx, address, "Mixed.Exchange", &call.Packed{}, &packed)
		qt.Check(t, err, qt.ErrorMatches, "refused")
		err = pool.Call(ctx, address, "Mixed.Unknown", &call.Packed{Data: []byte(text)}, &packed)
		qt.Check(t, err, qt.ErrorMatches, "rpc: can't find method Mixed.Unknown")
		err = pool.Call(ctx, address, "Mixed.Unknown", &Text{text}, &reply)
		qt.Check(t, err, qt.ErrorMatches, "rpc: can't find method Mixed.Unknown")

		err = pool.Call(ctx, address, "Mixed.Exchange", &call.Packed{Data: []byte(text)}, &reply)
		qt.Check(t, errors.Is(err, peer.ErrBroken), qt.IsTrue)
	}
}
