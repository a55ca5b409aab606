package owner

import (
	"bytes"
	"context"
	"io"
	"maps"
	"net/http"
	"net/url"
	"strings"
	"time"
)

// addedHeaders is the number of headers that are added to a request, at most.
const addedHeaders = 8

// newRequest returns the HTTP request of a call to the backend server.
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
