package node

import "curranthold.example/curranthold/internal/event"

var (
	eventReady = event.New(100, "node-ready", event.Info,
		"The node knows the configuration in force and accepts calls.")
	eventLeaving = event.New(101, "node-leaving", event.Info,
		"The node was asked to stop: it announces that it is leaving, then refuses new calls and finishes the running ones.")
	eventShutdownCutShort = event.New(102, "shutdown-cut-short", event.Warn,
		"The graceful shutdown timed out while calls were still running.")
	eventReloaded = event.New(104, "settings-reloaded", event.Info,
		"The settings were reloaded. If needs-restart is true, some of the changes take effect only after a restart.")
	eventReloadFailed = event.New(105, "settings-not-reloaded", event.Warn,
		"The settings could not be reloaded; the node keeps its current settings.")
	eventAnnouncedProvisionally = event.New(106, "backend-presumed", event.Info,
		"The backend server on this host answered a health check before its first heartbeat; it is assumed to have as many slots as the service's backend server with the fewest.")
	eventStopped = event.New(103, "node-stopped", event.Info,
		"The node has stopped.")
)
