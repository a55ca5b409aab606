package node

import (
	"reflect"

	"curranthold.example/curranthold/internal/event"
	"curranthold.example/curranthold/internal/settings"
)

// Reload applies settings that were read again. If err is not nil, they could not
// be read and the node keeps its current settings. Only a positive retry slack takes
// effect without a restart; Reload logs whether other settings differ. With an
// adapter, the new slack lasts until the next change of the hosts: then the node
// restores the slack with which it was started. Reload may be called concurrently with
// Run.
func (n *Node) Reload(s settings.Settings, err error) {
	if err != nil {
		eventReloadFailed.Log(event.Fields{"error": err.Error()})
		return
	}
	slack := s.Limits.RetrySlack
	if slack > 0 {
		n.entry.SetRetrySlack(n.retrySlack(slack, len(n.members.Members())))
	}
	expected := n.settings
	expected.Limits.RetrySlack = slack
	eventReloaded.Log(event.Fields{"retry-slack": slack, "needs-restart": !reflect.DeepEqual(expected, s)})
}

// retrySlack returns how many retries this node may make to each service before its
// first attempts have earned any: its part of the fleet's slack, divided by
// retrySlackDivisor.
func (n *Node) retrySlack(fleetSlack, nodes int) float64 {
	return float64(fleetSlack) / retrySlackDivisor / float64(max(nodes, 1))
}
