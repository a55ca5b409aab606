package node

import (
	"reflect"

	"curranthold.example/curranthold/internal/event"
	"curranthold.example/curranthold/internal/settings"
)

// Reload applies settings that were read again. If err is not nil, they could not
// be read and the node keeps its current settings. Only the retry slack, if
// positive, takes effect without a restart; Reload logs whether other settings
// differ. It may be called concurrently with Run.
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

// retrySlack returns this node's part of the fleet's retry slack: the retries that
// all nodes together may make beyond the retry percentage.
func (n *Node) retrySlack(fleetSlack, nodes int) float64 {
	return float64(fleetSlack) / retrySlackDivisor / float64(max(nodes, 1))
}
