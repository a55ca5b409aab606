package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"

	"curranthold.example/curranthold/internal/clientlimit"
	"curranthold.example/curranthold/internal/kernel"
	"curranthold.example/curranthold/pkg/verdict"
)

// capacityLimit bounds how much of a resource is in use at a time. A limit of 0
// means no bound.
type capacityLimit struct {
	unit  string
	limit int64
	inUse atomic.Int64
}

// acquire reserves n units. On success, the caller must call release when the units
// are no longer in use. An error has verdict NotRun.
func (l *capacityLimit) acquire(n int64) (release func(), err error) {
	release = func() { l.inUse.Add(-n) }
	if l.inUse.Add(n) > l.limit && l.limit > 0 {
		release()
		return nil, verdict.New(verdict.NotRun, verdict.Overloaded, "this node holds %d %s already", l.limit, l.unit)
	}
	return release, nil
}

// limitRequests wraps a handler. It refuses requests for which there is no memory.
func (e *Entry) limitRequests(next http.HandlerFunc) http.Handler {
	refusal := e.refuse(verdict.New(verdict.NotRun, verdict.Overloaded, "this node has no memory for more requests"))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		cost := clientlimit.RequestCost(r.Header)
		if !e.config.Clients.Take(clientlimit.Requests, cost) {
			refusal.ServeHTTP(w, r)
			return
		}
		defer e.config.Clients.Return(clientlimit.Requests, cost)
		next(w, r)
	})
}

// reservation is the memory that is reserved for one body.
type reservation struct {
	entry  *Entry
	size   int64
	budget int64
}

// grow reserves memory for n more bytes of the body. Its errors have verdict NotRun.
func (r *reservation) grow(n int64) error {
	if _, err := r.entry.bodies.acquire(n); err != nil {
		return err
	}
	r.size += n
	cost := clientlimit.BodyCost(n)
	if !r.entry.config.Clients.Take(clientlimit.Bodies, cost) {
		return verdict.New(verdict.NotRun, verdict.Overloaded, "this node has no memory for more bodies")
	}
	r.budget += cost
	return nil
}

// release frees the memory.
func (r *reservation) release() {
	r.entry.bodies.inUse.Add(-r.size)
	r.entry.config.Clients.Return(clientlimit.Bodies, r.budget)
	r.size, r.budget = 0, 0
}

// firstBodyBytes is the size up to which memory is reserved before a body arrives. More
// is reserved as it arrives, so that clients that only announce bodies hold little.
const firstBodyBytes = 8 << 10

// readReserved reads a body of at most limit bytes, of which declared are announced, or
// -1 if its length is not known. It returns errBodyTooLarge if the body is longer.
func readReserved(body io.Reader, declared, limit int64, memory *reservation) ([]byte, error) {
	last := limit + 1 // The byte beyond the limit shows that the body is longer.
	if declared >= 0 {
		last = declared
	}
	size := min(last, firstBodyBytes)
	if err := memory.grow(size); err != nil {
		return nil, err
	}
	buffer := make([]byte, 0, size)
	for {
		n, err := io.ReadFull(body, buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case declared < 0 && (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)):
			return buffer, nil
		case err != nil:
			return nil, err
		case int64(len(buffer)) > limit:
			return nil, errBodyTooLarge
		case int64(len(buffer)) == last:
			return buffer, nil
		}
		more := min(int64(cap(buffer)), last-int64(cap(buffer)))
		if err := memory.grow(more); err != nil {
			return nil, err
		}
		grown := make([]byte, len(buffer), int64(cap(buffer))+more)
		copy(grown, buffer)
		buffer = grown
	}
}

// errBodyTooLarge means that a body exceeds Config.RequestBytes.
var errBodyTooLarge = errors.New("entry: the body is too large")

// bodyStage reads the body of a call. It follows the key stage, so that callers
// without a valid client key can't fill the node's memory with bodies.
func bodyStage(*Entry) kernel.Stage[*activeCall] {
	return func(ctx context.Context, x *activeCall, next kernel.Handler[*activeCall]) error {
		body, release, err := x.readBody()
		defer release()
		if err != nil {
			return err
		}
		x.request.Body = body
		return next(ctx, x)
	}
}
