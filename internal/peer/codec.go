package peer

import (
	"bufio"
	"encoding/gob"
	"errors"
	"net"
	"net/rpc"
	"strings"
	"sync/atomic"

	"curranthold.example/curranthold/internal/event"
)

// messageConn is a connection between two nodes. Each net/rpc message, header and body,
// is sent as one frame. The content of the frame is in the gob format, or in the compact
// one if both nodes know that (see compact.go).
type messageConn struct {
	conn        net.Conn
	reader      *bufio.Reader
	generations GenerationTracker
	remote      string
	compact     bool

	// out is the frame that is being written, and in the one that is being read. Their
	// memory is in use only for that long.
	out     buffer
	in      buffer
	enc     *gob.Encoder
	dec     *gob.Decoder
	methods lastText
}

func newMessageConn(conn net.Conn, reader *bufio.Reader, generations GenerationTracker, session session) *messageConn {
	return &messageConn{conn: conn, reader: reader, generations: generations, remote: session.remote, compact: session.compact}
}

// encodeGob appends a value to the frame in the gob format. The receiver must decode all
// values of a connection, in order.
func (g *messageConn) encodeGob(value any) error {
	if g.enc == nil {
		g.enc = gob.NewEncoder(&g.out)
	}
	return g.enc.Encode(value)
}

func (g *messageConn) decodeGob(value any) error {
	if g.dec == nil {
		g.dec = gob.NewDecoder(&g.in)
	}
	return g.dec.Decode(value)
}

// send sends header and body as one frame. It calls encoded once the body is not read any
// more. The bytes are counted for the service of the net/rpc method.
func (g *messageConn) send(method string, header, body any, encoded func()) error {
	g.out.take()
	defer g.out.release()
	beginFrame(g.out.Buffer)
	err := g.encode(header, body)
	encoded()
	if err != nil {
		return err
	}
	n, err := writeFrame(g.conn, g.generations.Current(), g.out.Buffer)
	countSent(method, n)
	return err
}

func (g *messageConn) encode(header, body any) error {
	if g.compact {
		return g.encodeCompact(header, body)
	}
	if err := g.encodeGob(header); err != nil {
		return err
	}
	return g.encodeGob(body)
}

// receiveHeader reads the next frame and decodes its header. The body must be received
// before the next header.
func (g *messageConn) receiveHeader(header any) error {
	generation, err := g.receiveFrame()
	if errors.Is(err, errFrameTooLong) || errors.Is(err, errChecksumMismatch) {
		eventBroken.Log(event.Fields{"remote": g.remote, "error": err.Error()})
	}
	if err != nil {
		return err
	}
	g.generations.Observe(generation, g.remote)
	if g.compact {
		return g.decodeCompactHeader(header)
	}
	return g.decodeGob(header)
}

func (g *messageConn) receiveFrame() (generation uint64, err error) {
	// The memory is taken only when a frame has begun to arrive.
	if _, err := g.reader.Peek(1); err != nil {
		return 0, err
	}
	g.in.take()
	return readFrame(g.reader, g.in.Buffer)
}

// receiveBody decodes the body of the frame that receiveHeader read. If body is
// nil, it discards the body.
func (g *messageConn) receiveBody(body any) error {
	defer g.in.release()
	if g.compact {
		return g.decodeCompactBody(body)
	}
	return g.decodeGob(body)
}

// requestState says how far a request has got.
type requestState int32

const (
	// requestWaiting is the state before the request is encoded. No part of it has
	// been sent.
	requestWaiting requestState = iota
	// requestStarted is the state from then on.
	requestStarted
	// requestAbandoned is the state of a request that is never sent, because its call
	// ended before.
	requestAbandoned
)

// errAbandoned is the error of a request in state requestAbandoned.
var errAbandoned = errors.New("peer: the call ended before its request was sent")

// requestBody is the body of a request.
type requestBody struct {
	args  any
	state atomic.Int32
	// encoded is closed once args is not read any more. It is not closed if the
	// request is abandoned.
	encoded chan struct{}
}

func newRequestBody(args any) *requestBody {
	return &requestBody{args: args, encoded: make(chan struct{})}
}

// start reports whether the request is to be sent.
func (b *requestBody) start() bool {
	return b.state.CompareAndSwap(int32(requestWaiting), int32(requestStarted))
}

// abandon keeps the request from being sent. It returns false if it has been started;
// then args is not read any more once it returns.
func (b *requestBody) abandon() bool {
	if b.state.CompareAndSwap(int32(requestWaiting), int32(requestAbandoned)) {
		return true
	}
	<-b.encoded
	return false
}

// started reports whether a part of the request may have been sent.
func (b *requestBody) started() bool {
	return requestState(b.state.Load()) == requestStarted
}

// responseBody is the body of a response. The field err is the error of decoding it,
// which concerns this call alone: the frame was read whole.
type responseBody struct {
	reply any
	err   error
}

// clientCodec implements rpc.ClientCodec.
type clientCodec struct {
	*messageConn
	// sendErr is the first error of a request. The other side may have missed a part
	// of the gob stream then, so no further request is sent.
	sendErr error
}

func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	if c.sendErr != nil {
		return c.sendErr
	}
	request := body.(*requestBody)
	if !request.start() {
		return errAbandoned
	}
	c.sendErr = c.send(r.ServiceMethod, r, request.args, func() { close(request.encoded) })
	return c.sendErr
}

func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error { return c.receiveHeader(r) }

// ReadResponseBody decodes a *responseBody, or discards the body if it is nil. net/rpc
// would end all calls of the connection for an error.
func (c *clientCodec) ReadResponseBody(body any) error {
	if body == nil {
		return c.receiveBody(nil)
	}
	response := body.(*responseBody)
	response.err = c.receiveBody(response.reply)
	return nil
}

func (c *clientCodec) Close() error { return c.conn.Close() }

// serverCodec implements rpc.ServerCodec.
type serverCodec struct{ *messageConn }

func (c serverCodec) ReadRequestHeader(r *rpc.Request) error { return c.receiveHeader(r) }
func (c serverCodec) ReadRequestBody(body any) error         { return c.receiveBody(body) }

func (c serverCodec) WriteResponse(r *rpc.Response, body any) error {
	err := c.send(r.ServiceMethod, r, body, func() {})
	if err != nil {
		// The decoder at the other side may have missed part of the gob stream,
		// so the connection can't be used any more.
		_ = c.conn.Close()
	}
	return err
}

func (c serverCodec) Close() error { return c.conn.Close() }

// serviceOf returns the service of a net/rpc method name, in lower case.
func serviceOf(method string) string {
	service, _, _ := strings.Cut(method, ".")
	return strings.ToLower(service)
}
