package standin

import "curranthold.example/curranthold/internal/event"

var (
	eventCrashed = event.New(1400, "stand-in-backend-fell", event.Error,
		"A backend server stand-in crashed because it received too many requests during cold start.")
	eventKeyLeak = event.New(1401, "stand-in-key-leak", event.Error,
		"A backend server stand-in received a request that contains a caller's API key.")
	eventAnnounceFailed = event.New(1402, "stand-in-announce-failed", event.Warn,
		"A backend server stand-in could not announce itself to its node, or withdraw the announcement.")
	eventRecordFailed = event.New(1403, "stand-in-record-failed", event.Error,
		"A stand-in could not write a record.")
)
