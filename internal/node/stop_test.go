package node

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/call"
	"curranthold.example/curranthold/internal/peer"
	"curranthold.example/curranthold/internal/settings"
)

// noGenerations implements peer.GenerationTracker.
type noGenerations struct{}

func (noGenerations) Current() uint64        { return 0 }
func (noGenerations) Observe(uint64, string) {}

// announceBackend announces a backend server to the node until it is accepted.
func announceBackend(t *testing.T, n *Node, address string) {
	t.Helper()
	body := fmt.Sprintf(`{"service": "peals", "address": %q, "slots": 4}`, address)
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		response, err := http.Post("http://"+n.listeners.backend.Addr().String()+"/v1/announce", "application/json", strings.NewReader(body))
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusNoContent {
			return
		}
	}
	t.Fatal("the announcement was not accepted")
}

// TestStopBeforeReadyFinishesCalls guards against a node that gives up the calls of its backend server when it is stopped before it is ready.
func TestStopBeforeReadyFinishesCalls(t *testing.T) {
	started := make(chan struct{})
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(started)
		select {
		case <-time.After(500 * time.Millisecond):
		case <-r.Context().Done():
		}
		_, _ = io.WriteString(w, "whole")
	}))
	defer backend.Close()
	s := settings.Default()
	s.Host, s.AvailabilityZone = "host", "zone"
	for _, address := range []*string{&s.CallerAddress, &s.BackendAddress, &s.PeerAddress, &s.OperatorAddress} {
		*address = "127.0.0.1:0"
	}
	n, err := New(s) // There is no table service, so the node does not become ready.
	qt.Assert(t, err, qt.IsNil)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	stopped := make(chan error, 1)
	go func() { stopped <- n.Run(ctx, func() { t.Error("the node is ready") }) }()
	announceBackend(t, n, backend.Listener.Addr().String())

	pool := peer.NewPool(s.Secret(), "127.0.0.1:7", noGenerations{})
	defer func() { _ = pool.Close() }()
	request := call.Request{ID: "call/1", RequestID: "call", Service: "peals", Method: http.MethodGet, Target: "/", Remaining: 5 * time.Second}
	answered := make(chan error, 1)
	var answer call.Answer
	go func() {
		answered <- pool.Call(context.Background(), n.listeners.peer.Addr().String(), "Owner.Call", &request, &answer)
	}()
	<-started
	stop()
	qt.Check(t, <-answered, qt.IsNil)
	qt.Check(t, answer.Err == nil, qt.IsTrue, qt.Commentf("%v", answer.Err))
	qt.Check(t, string(answer.Body), qt.Equals, "whole")
	qt.Check(t, <-stopped, qt.IsNil)
}
