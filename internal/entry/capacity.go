package entry

import (
	"context"
	"net/http"
	"sync/atomic"

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

// maxBodyBytes returns an upper bound of the memory for a request's body: the
// declared length, or the maximum if none is declared. It returns 0 if the declared
// length exceeds the maximum, since readBody then refuses the request.
func (e *Entry) maxBodyBytes(r *http.Request) int64 {
	if r.ContentLength > e.config.RequestBytes {
		return 0
	}
	if r.ContentLength < 0 {
		return e.config.RequestBytes
	}
	return r.ContentLength
}

// bodyStage reads the body of a call. It follows the key stage, so that callers
// without a valid client key can't fill the node's memory with bodies.
func bodyStage(e *Entry) kernel.Stage[*activeCall] {
	return func(ctx context.Context, x *activeCall, next kernel.Handler[*activeCall]) error {
		if x.maxBodyBytes > 0 {
			release, err := e.bodies.acquire(x.maxBodyBytes)
			if err != nil {
				return err
			}
			defer release()
		}
		body, err := x.readBody()
		if err != nil {
			return err
		}
		x.request.Body = body
		return next(ctx, x)
	}
}
