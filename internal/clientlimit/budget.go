// Package clientlimit bounds the memory and the descriptors that all clients together
// can make a node hold: connections, heads being read, requests in progress, bodies,
// and responses that slow clients have not read.
//
// The load that it addresses is clients outside the declared limits. A [Budget] divides
// the memory of the host into fixed parts, and each part refuses what exceeds it. No
// limit depends on how fast clients send.
package clientlimit

import (
	"container/list"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
)

// Part is one part of the budget.
type Part int

// The parts of the budget.
const (
	// Connections is the memory of open connections.
	Connections Part = iota
	// Heads is the memory of request heads that are being read.
	Heads
	// Requests is the memory of requests in progress, with their headers.
	Requests
	// Bodies is the memory of request bodies and their copies, and of calls that came
	// from other nodes.
	Bodies
	// Responses is the memory of large responses that are being written.
	Responses
	partCount
)

// String returns the name of the part in log lines and metrics.
func (p Part) String() string {
	return [partCount]string{"connections", "heads", "requests", "bodies", "responses"}[p]
}

const (
	// baseBytes is the memory of a node without clients: about 14 MB, and 23 MB in a
	// fleet.
	baseBytes = 24 << 20
	// connectionBytes is the cost of a connection: buffers of net/http, the stack of
	// its goroutine and its entries in tables.
	connectionBytes = 20 << 10
	// requestBytes is the cost of a request in progress without its header and body:
	// stacks of its goroutines, contexts, and its part of small responses.
	requestBytes = 32 << 10
	// lineBytes is the cost of one header line beside its bytes: an entry of a map,
	// its share of the free space of the map, a slice and the canonical name.
	lineBytes = 200
	// headerCopies is the number of copies of a header while a request is in
	// progress: parsed, for the other host, and packed.
	headerCopies = 3
	// bodyCopies is the number of copies of a body: received, and packed for the
	// other host.
	bodyCopies = 2
	// MinResponseBytes is the size up to which responses belong to the cost of their
	// requests.
	MinResponseBytes = 16 << 10
)

// shares are the parts of the memory that remains beside baseBytes. Their sum leaves an
// eighth for garbage.
var shares = [partCount]float64{Connections: 0.25, Heads: 0.125, Requests: 0.125, Bodies: 0.25, Responses: 0.125}

// Budget is the memory that clients may make a node hold. The zero Budget and nil have
// no limits. Its methods may be called concurrently.
type Budget struct {
	limits [partCount]int64
	inUse  [partCount]atomic.Int64
	peak   atomic.Int64

	// mu guards the fields below. All connections of the node wait for it, so that nothing
	// that may wait for a connection is done under it: no callback is called, and no
	// method of a connection. Other locks may be held when it is locked.
	mu sync.Mutex
	// clients holds the *Client of each open connection. The client whose state
	// changed least recently is first.
	clients list.List
	// responses holds the *Response of each large response being written. The one
	// that made progress least recently is first.
	responses list.List
}

// Limits are the limits from which a budget is derived.
type Limits struct {
	// MemoryBytes is the memory of the node; 0 means no limit.
	MemoryBytes int64
	// MaxHeadBytes, MaxBodyBytes and MaxResponseBytes are the largest request head,
	// body and response. Each part holds at least one of the largest.
	MaxHeadBytes, MaxBodyBytes, MaxResponseBytes int64
}

// New returns a budget for the limits.
func New(l Limits) *Budget {
	b := new(Budget)
	if l.MemoryBytes <= 0 {
		return b
	}
	available := float64(max(l.MemoryBytes-baseBytes, l.MemoryBytes/4))
	for p := range b.limits {
		b.limits[p] = int64(available * shares[p])
	}
	const shortestLineBytes = 3 // A letter, a colon and a line feed.
	largestHead := headCost(l.MaxHeadBytes, l.MaxHeadBytes/shortestLineBytes)
	b.limits[Heads] = max(b.limits[Heads], largestHead)
	b.limits[Requests] = max(b.limits[Requests], requestBytes+headerCopies*largestHead)
	b.limits[Bodies] = max(b.limits[Bodies], bodyCopies*2*l.MaxBodyBytes)
	b.limits[Responses] = max(b.limits[Responses], l.MaxResponseBytes)
	return b
}

// Limit returns the limit of a part in bytes, 0 if it has none.
func (b *Budget) Limit(p Part) int64 {
	if b == nil {
		return 0
	}
	return b.limits[p]
}

// InUse returns the bytes of a part that are in use.
func (b *Budget) InUse(p Part) int64 {
	if b == nil {
		return 0
	}
	return b.inUse[p].Load()
}

// Take reserves n bytes of a part, and reports whether they were free. The caller must
// return them with Return.
func (b *Budget) Take(p Part, n int64) bool {
	if b == nil || b.limits[p] == 0 {
		return true
	}
	if b.inUse[p].Add(n) > b.limits[p] && n > 0 {
		b.inUse[p].Add(-n)
		b.refused(p)
		return false
	}
	b.recordPeak()
	return true
}

// Return frees n bytes that Take has reserved.
func (b *Budget) Return(p Part, n int64) {
	if b == nil || b.limits[p] == 0 {
		return
	}
	b.inUse[p].Add(-n)
}

func (b *Budget) refused(p Part) {
	metricRefused[p].Add(1)
	logRefused(p, b.limits[p])
}

func (b *Budget) recordPeak() {
	total := b.total()
	for {
		peak := b.peak.Load()
		if total <= peak || b.peak.CompareAndSwap(peak, total) {
			return
		}
	}
}

func (b *Budget) total() (total int64) {
	for p := range b.inUse {
		total += b.inUse[p].Load()
	}
	return total
}

func (b *Budget) totalLimit() (total int64) {
	for _, limit := range b.limits {
		total += limit
	}
	return total
}

// Fallen reports whether the use of the budget has fallen to a quarter of its peak,
// since the last time that Fallen returned true, if that was at least an eighth of the
// whole budget. The runtime then holds far more memory than the node needs.
func (b *Budget) Fallen() bool {
	if b == nil {
		return false
	}
	const fallDivisor, peakDivisor = 4, 8
	total, peak := b.total(), b.peak.Load()
	if peak == 0 || peak < b.totalLimit()/peakDivisor || total > peak/fallDivisor {
		return false
	}
	b.peak.Store(total)
	return true
}

// headCost returns the memory of a head with the given size and number of lines.
func headCost(bytes, lines int64) int64 { return bytes + lines*lineBytes }

// RequestCost returns the memory of a request in progress with the header, without its
// body.
func RequestCost(h http.Header) int64 { return requestBytes + headerCopies*HeaderCost(h) }

// HeaderCost returns the memory of one copy of a header.
func HeaderCost(h http.Header) int64 {
	var bytes, lines int64
	for name, values := range h {
		lines += int64(len(values))
		for _, value := range values {
			bytes += int64(len(name) + len(value))
		}
	}
	return headCost(bytes, lines)
}

// BodyCost returns the memory of a body in a buffer of the given size.
func BodyCost(size int64) int64 {
	if size > math.MaxInt64/bodyCopies {
		return math.MaxInt64
	}
	return bodyCopies * size
}
