package platform

import "curranthold.example/curranthold/internal/event"

var (
	eventCircuitOpened = event.New(1300, "platform-circuit-opened", event.Warn,
		"Several consecutive requests to a service of the platform failed. Further requests to it fail at once, "+
			"except for one probe at a time, until a probe does not fail.")
	eventCircuitClosed = event.New(1301, "platform-circuit-closed", event.Info,
		"A service of the platform responds again.")
)
