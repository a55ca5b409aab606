package node

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/retry"
	"curranthold.example/curranthold/internal/settings"
)

// TestRetryBurst checks a node's part of the fleet's burst of retries.
func TestRetryBurst(t *testing.T) {
	tests := map[string]struct {
		fleet, nodes int
		external     bool
		want         float64
	}{
		"shared":                 {fleet: 48, nodes: 12, external: true, want: 2},
		"none allowed":           {fleet: 0, nodes: 12, external: true, want: 0},
		"no other node known":    {fleet: 48, nodes: 0, external: true, want: 24},
		"own interface":          {fleet: 48, nodes: 12, want: 2},
		"own interface, not set": {fleet: 0, nodes: 12, want: retry.DefaultBurst},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, retryBurst(test.fleet, test.nodes, test.external), qt.Equals, test.want)
		})
	}
}

// TestReloadedBurstStays reloads the settings with another burst and then changes the
// hosts. The burst must remain that of the settings as last loaded.
func TestReloadedBurstStays(t *testing.T) {
	n, s := newIdleNode(t)
	s.Limits.RetrySlack = 30
	n.Reload(s, nil)
	n.applyRetryBurst(3)
	qt.Assert(t, retryBurst(int(n.retrySlack.Load()), 3, false), qt.Equals, 5.0)
}

// newIdleNode returns a node on loopback addresses that does not run, and its settings.
func newIdleNode(t *testing.T) (*Node, settings.Settings) {
	s := settings.Default()
	s.Host, s.AvailabilityZone = "host", "zone"
	for _, address := range []*string{&s.CallerAddress, &s.BackendAddress, &s.PeerAddress, &s.OperatorAddress} {
		*address = "127.0.0.1:0"
	}
	n, err := New(s)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { qt.Check(t, n.closeComponents(), qt.IsNil) })
	return n, s
}
