package standin

import (
	"context"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestEnded checks that Ended names the signal that ended a process.
func TestEnded(t *testing.T) {
	tests := map[string]struct {
		signal syscall.Signal
		want   string
	}{
		"killed":     {syscall.SIGKILL, "signal: killed"},
		"terminated": {syscall.SIGTERM, "signal: terminated"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p, err := StartProcess(context.Background(), ProcessConfig{Path: "/bin/sh", Args: []string{"-c", "echo ready; exec sleep 60"}})
			qt.Assert(t, err, qt.IsNil)
			defer func() { qt.Check(t, p.Close(), qt.IsNil) }()
			qt.Check(t, p.Ended(), qt.Equals, "")
			qt.Assert(t, p.signal(test.signal), qt.IsNil)
			_, err = p.Wait(t.Context())
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, p.Ended(), qt.Equals, test.want)
		})
	}
}
