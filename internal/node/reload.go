package node

import (
	"reflect"

	"curranthold.example/curranthold/internal/event"
	"curranthold.example/curranthold/internal/settings"
)

// Reload takes in settings that were read anew, or the error that kept them from
// being read, after which the node goes on with those that it has. What only a
// start can change is logged and left as it is. It may be called concurrently
// with Run.
func (n *Node) Reload(s settings.Settings, err error) {
	if err != nil {
		eventReloadFailed.Log(event.Fields{"error": err.Error()})
		return
	}
	slack := s.Limits.RetrySlack
	if slack > 0 {
		n.entry.SetRetrySlack(n.retrySlack(slack, len(n.members.Members())))
	}
	rest := n.settings
	rest.Limits.RetrySlack = slack
	eventReloaded.Log(event.Fields{"retry-slack": slack, "needs-restart": !reflect.DeepEqual(rest, s)})
}

// retrySlack returns this node's part of the retries that all nodes together may
// make beyond their share of the first attempts.
func (n *Node) retrySlack(fleet, nodes int) float64 {
	return float64(fleet) / retrySlackShare / float64(max(nodes, 1))
}
