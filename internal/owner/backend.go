package owner

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
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
	// addedHeaders is the number of headers that are added to a request, at most.
	addedHeaders = 8
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
			DialContext:         dialBackend,
			MaxConnsPerHost:     a.Connections,
			MaxIdleConnsPerHost: max(a.Slots, 1),
			IdleConnTimeout:     cmp.Or(config.IdleTimeout, connectionIdleTimeout),
			DisableCompression:  true,
			// Informational responses count as well, since no trace hook sees them.
			MaxResponseHeaderBytes: cmp.Or(config.AnswerHeaderBytes, maxAnswerHeaderBytes),
		},
	}
}

// dialBackend opens a connection to a backend server.
func dialBackend(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := socket.Dialer(connectTimeout).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return httpconn.New(conn), nil
}

// emptyBody is an empty body. With no body at all, net/http would resend the request by
// itself when a connection breaks.
type emptyBody struct{}

// Read implements io.Reader.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// WriteTo implements io.WriterTo, without which net/http would need a buffer.
func (emptyBody) WriteTo(io.Writer) (int64, error) { return 0, nil }

// Close implements io.Closer.
func (emptyBody) Close() error { return nil }

// identityEncoding is the transfer encoding of a request whose body is sent as it is.
var identityEncoding = []string{"identity"}

// setBody sets the body of a request so that net/http does not resend the request by
// itself: it has a body, and no GetBody.
func setBody(request *http.Request, body []byte) {
	if len(body) > 0 {
		// Net/http writes a body of this type together with the header.
		request.Body = io.NopCloser(bytes.NewReader(body))
		request.ContentLength = int64(len(body))
		return
	}
	request.Body = emptyBody{}
	switch request.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodDelete:
		// Otherwise net/http starts a goroutine and a timer to find out whether the
		// body is empty.
		request.TransferEncoding = identityEncoding
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

// errConnGivenUp means that a request got a connection that had been given up, because the
// response before on it was invalid. Nothing of the request was written.
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

func (o *Owner) newRequest(ctx context.Context, b *backend, c *activeCall, token string) (*http.Request, error) {
	r := c.request
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+b.announcement.Address, nil)
	if err != nil {
		return nil, err
	}
	if request.URL, err = requestURL(b.announcement.Address, r.Target); err != nil {
		return nil, err
	}
	request.Host = r.Host
	setBody(request, r.Body)
	request.Header = r.Header
	if !c.ownsHeader || request.Header == nil {
		request.Header = make(http.Header, len(r.Header)+addedHeaders)
		maps.Copy(request.Header, r.Header)
	}
	remaining := r.Remaining
	if deadline, ok := ctx.Deadline(); ok {
		remaining = time.Until(deadline)
	}
	if _, stated := request.Header["User-Agent"]; !stated {
		request.Header.Set("User-Agent", "") // Keeps net/http from adding its own.
	}
	o.config.Codec.WriteRequest(request.Header, Outgoing{
		Request: r, Remaining: remaining, Token: token, Incarnation: b.announcement.Incarnation,
	})
	return request, nil
}

// requestURL returns a URL that sends the request target to the backend server
// unchanged, without normalizing its escapes.
func requestURL(address, target string) (*url.URL, error) {
	if strings.HasPrefix(target, "/") && !strings.HasPrefix(target, "//") {
		return &url.URL{Scheme: "http", Host: address, Opaque: target}, nil
	}
	return url.Parse("http://" + address + target)
}
