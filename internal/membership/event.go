package membership

import (
	"curranthold.example/curranthold/internal/event"
	"curranthold.example/curranthold/internal/metric"
)

var (
	eventChanged = event.New(400, "member-changed", event.Info,
		"Another host joined, changed what it announces, or is suspected to be dead.")
	eventDead = event.New(401, "member-dead", event.Warn,
		"Another host did not answer in time and is considered dead until it announces itself again.")
	eventDirectory = event.New(402, "directory-unreachable", event.Warn,
		"The directory of hosts in the platform's table could not be read or written; known hosts stay known.")
	eventDirectoryRenewed = event.New(403, "directory-renewed", event.Info,
		"The platform's store had come back from an older copy; this host's row in the directory of hosts was written again.")
)

var (
	metrics            = metric.NewGroup("membership")
	metricMembers      = metrics.Int("live-members")
	metricProbesFailed = metrics.Int("probes-failed")
)
