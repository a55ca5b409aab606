package main

import (
	"errors"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/node"
	"curranthold.example/curranthold/internal/settings"
)

// TestHangup checks that each SIGHUP makes the node load its settings again, and
// that the node does not exit when it cannot read them.
func TestHangup(t *testing.T) {
	s := settings.Default()
	s.Host, s.AvailabilityZone = "host", "zone"
	for _, address := range []*string{&s.CallerAddress, &s.BackendAddress, &s.PeerAddress, &s.OperatorAddress} {
		*address = "127.0.0.1:0"
	}
	n, err := node.New(s)
	qt.Assert(t, err, qt.IsNil)
	var loads atomic.Int64
	done := make(chan struct{})
	go func() {
		defer close(done)
		runNode(t.Context(), n, nil, s.CallerAddress, func() (settings.Settings, error) {
			loads.Add(1)
			return s, errors.New("unreadable")
		})
	}()
	for want := int64(1); want <= 3; want++ {
		time.Sleep(50 * time.Millisecond) // lets runNode install the signal handler before the first signal.
		qt.Assert(t, syscall.Kill(os.Getpid(), syscall.SIGHUP), qt.IsNil)
		for deadline := time.Now().Add(5 * time.Second); loads.Load() < want && time.Now().Before(deadline); {
			time.Sleep(time.Millisecond)
		}
		qt.Assert(t, loads.Load(), qt.Equals, want)
	}
	qt.Assert(t, syscall.Kill(os.Getpid(), syscall.SIGTERM), qt.IsNil)
	<-done
}
