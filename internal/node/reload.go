package node

import (
	"reflect"

	"curranthold.example/curranthold/internal/event"
	"curranthold.example/curranthold/internal/settings"
)

// Reload applies settings that were read again. If err is not nil, they could not
// be read and the node keeps its current settings. Only a positive burst of retries
// takes effect without a restart; Reload logs whether other settings differ. With an
// adapter, the new burst lasts until the next change of the hosts: then the node
// restores the burst with which it was started. Reload may be called concurrently with
// Run.
func (n *Node) Reload(s settings.Settings, err error) {
	if err != nil {
		eventReloadFailed.Log(event.Fields{"error": err.Error()})
		return
	}
	burst := s.Limits.RetrySlack
	if burst > 0 {
		n.entry.SetRetryBurst(n.retryBurst(burst, len(n.members.Members())))
	}
	expected := n.settings
	expected.Limits.RetrySlack = burst
	eventReloaded.Log(event.Fields{"retry-slack": burst, "needs-restart": !reflect.DeepEqual(expected, s)})
}

// retryBurst returns how many retries this node may make to each service before its
// first attempts have earned any: its part of the fleet's burst, divided by
// retryBurstDivisor.
func (n *Node) retryBurst(fleetBurst, nodes int) float64 {
	return float64(fleetBurst) / retryBurstDivisor / float64(max(nodes, 1))
}
