package peer

import "curranthold.example/curranthold/internal/event"

var (
	eventRefused = event.New(300, "peer-connection-refused", event.Warn,
		"A connection to the peer address failed the handshake: its client is not a node or has another fleet secret, or the connection broke or timed out.")
	eventBroken = event.New(301, "peer-connection-broken", event.Warn,
		"A connection to another node was closed because of a corrupt or oversized frame.")
)
