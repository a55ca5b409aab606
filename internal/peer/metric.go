package peer

import (
	"expvar"
	"sync"

	"curranthold.example/curranthold/internal/metric"
)

var (
	metrics            = metric.NewGroup("peer")
	connectionsOpened  = metrics.Int("connections-opened")
	handshakesEnded    = metrics.Int("handshakes-ended")
	connectionsRefused = metrics.Int("connections-refused")
	callsNotSent       = metrics.Int("calls-not-sent")
	callsBroken        = metrics.Int("calls-broken")
)

// sentBytesByMethod maps each net/rpc method to the counter of its service, an
// *expvar.Int.
var sentBytesByMethod sync.Map

// countSent adds the bytes of one message to the counter of its service.
func countSent(method string, n int) {
	counter, ok := sentBytesByMethod.Load(method)
	if !ok {
		counter, _ = sentBytesByMethod.LoadOrStore(method, metrics.Int(serviceOf(method)+"-sent-bytes"))
	}
	counter.(*expvar.Int).Add(int64(n))
}
