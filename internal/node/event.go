package node

import "curranthold.example/curranthold/internal/event"

var (
	eventReady = event.New(100, "node-ready", event.Info,
		"The node knows the configuration in force and takes calls.")
	eventLeaving = event.New(101, "node-leaving", event.Info,
		"The node was asked to stop: it takes no new work and finishes what it has.")
	eventShutdownCut = event.New(102, "shutdown-cut-short", event.Warn,
		"The bound on a graceful shutdown passed while calls were still running.")
	eventReloaded = event.New(104, "settings-reloaded", event.Info,
		"The settings were read anew. Where needs-restart is true, some that changed take effect at the next start only.")
	eventReloadFailed = event.New(105, "settings-not-reloaded", event.Warn,
		"The settings could not be read anew; the node goes on with those that it has.")
	eventPresumed = event.New(106, "backend-presumed", event.Info,
		"The backend server on this host answered a question about its health before its first heartbeat; it is taken to have the slots of its siblings.")
	eventStopped = event.New(103, "node-stopped", event.Info,
		"The node has stopped.")
)
