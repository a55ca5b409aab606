package httpconn

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"net/textproto"
	"sync"
	"sync/atomic"
)

const (
	// oldVersion begins a response of HTTP/1.0.
	oldVersion = "HTTP/1.0"
	// maxOldHeadBytes bounds the head of such a response that is kept.
	maxOldHeadBytes = 64 << 10
)

var (
	errOldHead      = errors.New("httpconn: the head of a response of HTTP/1.0 can't be read")
	errCodedOldBody = errors.New("httpconn: a response of HTTP/1.0 has a transfer coding")
)

// oldHead keeps the head of a response of HTTP/1.0, since net/http drops its field
// Transfer-Encoding unseen. The zero value expects no response.
type oldHead struct {
	// expected is set from the start of a request until it is known that the response is
	// of another version, or has all of its head.
	expected atomic.Bool

	mu    sync.Mutex
	bytes []byte
}

// expect makes h keep the head of the response that begins next.
func (h *oldHead) expect() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.bytes = nil
	h.expected.Store(true)
}

// observe sees the next bytes of the connection.
func (h *oldHead) observe(p []byte) {
	if len(p) == 0 || !h.expected.Load() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	start := p
	if len(h.bytes) > 0 || len(p) < len(oldVersion) {
		h.bytes = append(h.bytes, p...)
		start = h.bytes
	}
	n := min(len(start), len(oldVersion))
	if string(start[:n]) != oldVersion[:n] {
		h.bytes = nil
		h.expected.Store(false)
		return
	}
	if len(h.bytes) == 0 {
		h.bytes = bytes.Clone(p)
	}
	if len(h.bytes) > maxOldHeadBytes || bytes.Contains(h.bytes, []byte("\n\r\n")) || bytes.Contains(h.bytes, []byte("\n\n")) {
		h.expected.Store(false)
	}
}

// fields returns the fields of the head.
func (h *oldHead) fields() (textproto.MIMEHeader, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	reader := textproto.NewReader(bufio.NewReader(bytes.NewReader(h.bytes)))
	if _, err := reader.ReadLine(); err != nil {
		return nil, errOldHead
	}
	fields, err := reader.ReadMIMEHeader()
	if err != nil {
		return nil, errOldHead
	}
	return fields, nil
}

// CheckFraming returns an error if the response, to the request that uses u, is not one of
// HTTP/1, or has a transfer coding although it is of HTTP/1.0. Its framing is then unknown or
// faulty (RFC 9112, section 6.1); net/http would take the coded bytes for the body.
func (u *Use) CheckFraming(response *http.Response) error {
	if response.ProtoMajor != 1 {
		return fmt.Errorf("httpconn: a response of %q", response.Proto)
	}
	if u.conn == nil || response.ProtoAtLeast(1, 1) {
		return nil
	}
	fields, err := u.conn.oldHead.fields()
	if err != nil {
		return err
	}
	if _, coded := fields["Transfer-Encoding"]; coded {
		return errCodedOldBody
	}
	return nil
}
