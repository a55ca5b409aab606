package node

import (
	"reflect"

	"curranthold.example/curranthold/internal/event"
	"curranthold.example/curranthold/internal/retry"
	"curranthold.example/curranthold/internal/settings"
)

// Reload applies settings that were read again. If err is not nil, they could not
// be read and the node keeps its current settings. Only the burst of retries takes
// effect without a restart; Reload logs whether other settings differ. It may be called
// concurrently with Run.
func (n *Node) Reload(s settings.Settings, err error) {
	if err != nil {
		eventReloadFailed.Log(event.Fields{"error": err.Error()})
		return
	}
	burst := s.Limits.RetrySlack
	n.retrySlack.Store(int64(burst))
	n.applyRetryBurst(len(n.members.Members()))
	expected := n.settings
	expected.Limits.RetrySlack = burst
	eventReloaded.Log(event.Fields{"retry-slack": burst, "needs-restart": !reflect.DeepEqual(expected, s)})
}

// applyRetryBurst sets how many retries this node may make to each service before its
// first attempts have earned any, in a fleet of the given number of nodes.
func (n *Node) applyRetryBurst(nodes int) {
	n.entry.SetRetryBurst(retryBurst(int(n.retrySlack.Load()), nodes, n.adapter.external()))
}

// retryBurst returns one node's part of the fleet's burst, divided by
// retryBurstDivisor. Without an adapter, a burst of 0 stands for the default.
func retryBurst(fleetBurst, nodes int, external bool) float64 {
	if fleetBurst == 0 && !external {
		return retry.DefaultBurst
	}
	return float64(fleetBurst) / retryBurstDivisor / float64(max(nodes, 1))
}
