package owner

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"syscall"
	"time"

	"curranthold.example/curranthold/internal/call"
	"curranthold.example/curranthold/internal/kernel"
	"curranthold.example/curranthold/internal/retry"
	"curranthold.example/curranthold/internal/socket"
	"curranthold.example/curranthold/pkg/verdict"
)

const (
	// connectTimeout bounds the opening of a connection to a backend server.
	connectTimeout = 500 * time.Millisecond
	// connectionIdleTimeout is how long an unused connection to a backend
	// server is kept.
	connectionIdleTimeout = time.Minute
)

// backend is the backend server on this host with the connections to it.
type backend struct {
	announcement Announcement
	// born tells starts under the same name apart; 0 where they are not numbered.
	born      int64
	transport *http.Transport
}

func newBackend(a Announcement, born int64, idle time.Duration) *backend {
	return &backend{
		announcement: a,
		born:         born,
		transport: &http.Transport{
			DialContext:         socket.Dialer(connectTimeout).DialContext,
			MaxConnsPerHost:     a.Connections,
			MaxIdleConnsPerHost: max(a.Slots, 1),
			IdleConnTimeout:     cmp.Or(idle, connectionIdleTimeout),
			DisableCompression:  true,
		},
	}
}

// onceBody is the body of a request. It hides the type of its reader from
// net/http, which would otherwise send a request again by itself when a
// connection breaks.
type onceBody struct{ io.Reader }

func (onceBody) Close() error { return nil }

// errGone marks the error of a call whose connection was refused: no process
// listens at the backend server's address any longer.
var errGone = errors.New("owner: the backend server is gone")

// backendStage sends the call to the backend server and reads the whole answer.
func backendStage(o *Owner) kernel.Stage[*work] {
	return func(ctx context.Context, w *work, _ kernel.Handler[*work]) error {
		b := o.current()
		if b == nil {
			return verdict.New(verdict.NotRun, verdict.BackendUnreachable, "the backend server has left")
		}
		w.parent = &Parent{
			ctx:     ctx,
			request: w.request,
			ticket:  w.ticket,
			budget:  retry.NewBudget(w.request.ExtraAttempts),
		}
		token := o.tokens.issue(w.parent, o.config.RequestIDTokens)
		defer o.tokens.release(token)
		err := o.exchange(ctx, b, w, token)
		if errors.Is(err, errGone) {
			o.Withdraw(b.announcement.Service)
		}
		return err
	}
}

// exchange performs one HTTP exchange. The verdict of its error is NotRun only
// if no connection was had, or if the backend server refused by protocol.
func (o *Owner) exchange(ctx context.Context, b *backend, w *work, token string) error {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { w.answer.Offered = true }}
	request, err := o.newRequest(httptrace.WithClientTrace(ctx, trace), b, w, token)
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.BadRequest, "%v", err)
	}
	response, err := b.transport.RoundTrip(request)
	if err != nil {
		return brokenExchange(ctx, err, w.answer.Offered)
	}
	defer func() { _ = response.Body.Close() }()
	return o.readAnswer(ctx, w, response)
}

func (o *Owner) newRequest(ctx context.Context, b *backend, w *work, token string) (*http.Request, error) {
	r := w.request
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+b.announcement.Address, onceBody{bytes.NewReader(r.Body)})
	if err != nil {
		return nil, err
	}
	if request.URL, err = requestURL(b.announcement.Address, r.Target); err != nil {
		return nil, err
	}
	request.Host = r.Host
	request.ContentLength = int64(len(r.Body))
	request.Header = r.Header.Clone()
	if request.Header == nil {
		request.Header = make(http.Header)
	}
	remaining := r.Remaining
	if deadline, ok := ctx.Deadline(); ok {
		remaining = time.Until(deadline)
	}
	if _, stated := request.Header["User-Agent"]; !stated {
		request.Header.Set("User-Agent", "") // net/http would add its own.
	}
	o.config.Codec.WriteRequest(request.Header, Outgoing{
		Request: r, Remaining: remaining, Token: token, Incarnation: b.announcement.Incarnation,
	})
	return request, nil
}

// requestURL returns the URL of a request whose path and query reach the backend
// server as the caller wrote them.
func requestURL(address, target string) (*url.URL, error) {
	if strings.HasPrefix(target, "/") && !strings.HasPrefix(target, "//") {
		return &url.URL{Scheme: "http", Host: address, Opaque: target}, nil
	}
	return url.Parse("http://" + address + target)
}

// brokenExchange returns the error of an exchange without an answer.
func brokenExchange(ctx context.Context, err error, connected bool) error {
	v := verdict.MayHaveRun
	code := verdict.BackendBroken
	if !connected {
		v = verdict.NotRun
		code = verdict.BackendUnreachable
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		code = verdict.DeadlineExceeded
	case ctx.Err() != nil:
		code = verdict.Cancelled
	}
	failure := verdict.New(v, code, "backend server: %v", err)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return errors.Join(errGone, failure)
	}
	return failure
}

// readAnswer takes in the whole answer, or an error that says why there is none.
func (o *Owner) readAnswer(ctx context.Context, w *work, response *http.Response) error {
	limit := o.config.AnswerBytes
	if err := o.config.Codec.Judge(w.request, response); err != nil {
		if verdict.Of(err) == verdict.NotRun {
			// A connection whose answer was read to its end is used again.
			_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, limit))
		}
		return err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return brokenExchange(ctx, err, true)
	}
	if int64(len(body)) > limit {
		return verdict.New(verdict.Ran, verdict.AnswerTooLarge, "the answer exceeds %d bytes", limit)
	}
	w.answer.Status = response.StatusCode
	w.answer.Header = call.EndToEnd(response.Header)
	w.answer.Body = body
	return nil
}
