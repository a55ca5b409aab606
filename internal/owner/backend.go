package owner

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"curranthold.example/curranthold/internal/httpconn"
	"curranthold.example/curranthold/internal/kernel"
	"curranthold.example/curranthold/internal/retry"
	"curranthold.example/curranthold/internal/socket"
	"curranthold.example/curranthold/pkg/verdict"
)

const (
	// connectTimeout bounds the time to connect to the backend server.
	connectTimeout = 500 * time.Millisecond
	// connectionIdleTimeout is the default of Config.IdleTimeout.
	connectionIdleTimeout = time.Minute
	// maxAnswerHeaderBytes is the default of Config.AnswerHeaderBytes.
	maxAnswerHeaderBytes = 8 << 10
)

// backend is the backend server on this host and the connections to it.
type backend struct {
	announcement Announcement
	// startMs is the start time of the instance in Unix milliseconds, 0 if unknown.
	// It distinguishes instances with the same incarnation.
	startMs   int64
	transport *http.Transport
	// echoes is set once a response has named the request that it answers. From
	// then on a response that names none is not taken for an answer. All backends of
	// one instance share it.
	echoes *atomic.Bool
}

func newBackend(a Announcement, startMs int64, config *Config) *backend {
	return &backend{
		announcement: a,
		startMs:      startMs,
		echoes:       new(atomic.Bool),
		transport: &http.Transport{
			DialContext:         httpconn.Dial(socket.Dialer(connectTimeout).DialContext),
			MaxConnsPerHost:     a.Connections,
			MaxIdleConnsPerHost: max(a.Slots, 1),
			IdleConnTimeout:     cmp.Or(config.IdleTimeout, connectionIdleTimeout),
			DisableCompression:  true,
			// Informational responses count as well, since no trace hook sees them.
			MaxResponseHeaderBytes: cmp.Or(config.AnswerHeaderBytes, maxAnswerHeaderBytes),
		},
	}
}

// errConnectionRefused marks the error of a call whose connection was refused: no
// process is listening at the backend server's address.
var errConnectionRefused = errors.New("owner: the backend server refused the connection")

// backendStage sends the call to the backend server and reads the whole response.
// If the connection is refused, it withdraws the backend server.
func backendStage(o *Owner) kernel.Stage[*activeCall] {
	return func(ctx context.Context, c *activeCall, _ kernel.Handler[*activeCall]) error {
		b := o.current()
		if b == nil {
			return verdict.New(verdict.NotRun, verdict.BackendUnreachable, "the backend server has left")
		}
		if !c.offer.begin() {
			return verdict.New(verdict.NotRun, verdict.Cancelled, "cancelled before the request ran")
		}
		c.parent = &Parent{
			ctx:     ctx,
			request: c.request,
			permit:  c.permit,
			budget:  retry.NewBudget(c.request.ExtraAttempts),
			beneath: &o.beneath,
		}
		token := o.callTokens.issue(c.parent, o.config.RequestIDTokens)
		defer o.callTokens.release(token, c.parent)
		err := o.roundTrip(ctx, b, c, token)
		if errors.Is(err, errConnectionRefused) {
			o.Withdraw(b.announcement.Service)
		}
		return err
	}
}

// roundTrip sends one HTTP request and reads the response. The verdict of its error
// is NotRun only if the request is invalid, nothing of it was written to a connection,
// or the response has the header Refused.
func (o *Owner) roundTrip(ctx context.Context, b *backend, c *activeCall, token string) error {
	for {
		err := o.tryRoundTrip(ctx, b, c, token)
		if !errors.Is(err, errConnGivenUp) {
			return err
		}
	}
}

// errConnGivenUp means that a request got a connection that had been given up. Nothing of the
// request was written; see [httpconn.Use.GivenUp].
var errConnGivenUp = errors.New("owner: the connection had been given up")

// tryRoundTrip is roundTrip once, which fails with errConnGivenUp if net/http chooses such a
// connection.
func (o *Owner) tryRoundTrip(ctx context.Context, b *backend, c *activeCall, token string) (err error) {
	var use httpconn.Use
	defer func() { use.Release(isResponse(err)) }()
	var begun atomic.Bool // The response has begun.
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			c.answer.Offered = true
			use.Acquire(info.Conn)
		},
		GotFirstResponseByte: func() { begun.Store(true) },
	}
	request, err := o.newRequest(httptrace.WithClientTrace(ctx, trace), b, c, token)
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.BadRequest, "%v", err)
	}
	response, err := b.transport.RoundTrip(request)
	if err != nil {
		if use.Seal() {
			c.answer.Offered = false
		}
		if !c.answer.Offered && use.GivenUp() && ctx.Err() == nil {
			return errConnGivenUp
		}
		err = roundTripError(ctx, err, c.answer.Offered)
		if begun.Load() {
			reportInvalid(c.request, 0, err)
		}
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if err = invalidHead(use.CheckFraming(response)); err == nil {
		err = o.judge(b, c.request, response)
	}
	if isResponse(err) {
		o.observeNotice(b, o.config.Codec.Notice(response))
	}
	if err == nil {
		err = o.readAnswer(ctx, c, response)
	} else {
		discard(response, err)
	}
	reportInvalid(c.request, response.StatusCode, err)
	return err
}
