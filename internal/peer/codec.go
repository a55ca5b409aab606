package peer

import (
	"bufio"
	"bytes"
	"encoding/gob"
	"errors"
	"net"
	"net/rpc"
	"strings"
	"sync/atomic"

	"curranthold.example/curranthold/internal/event"
)

// gobConn is a connection between two nodes with its gob streams. Each net/rpc
// message, header and body, is sent as one frame.
type gobConn struct {
	conn        net.Conn
	reader      *bufio.Reader
	generations GenerationTracker
	remote      string

	out bytes.Buffer
	enc *gob.Encoder
	in  bytes.Buffer
	dec *gob.Decoder
}

func newGobConn(conn net.Conn, reader *bufio.Reader, generations GenerationTracker, remote string) *gobConn {
	g := &gobConn{conn: conn, reader: reader, generations: generations, remote: remote}
	g.enc = gob.NewEncoder(&g.out)
	g.dec = gob.NewDecoder(&g.in)
	return g
}

// encode encodes header and body into the frame that write sends.
func (g *gobConn) encode(header, body any) error {
	beginFrame(&g.out)
	if err := g.enc.Encode(header); err != nil {
		return err
	}
	return g.enc.Encode(body)
}

// write sends the frame. The bytes are counted for the service of the net/rpc method.
func (g *gobConn) write(method string) error {
	n, err := writeFrame(g.conn, g.generations.Current(), &g.out)
	countSent(method, n)
	return err
}

// receiveHeader reads the next frame and decodes its header.
func (g *gobConn) receiveHeader(header any) error {
	generation, err := readFrame(g.reader, &g.in)
	if errors.Is(err, errFrameTooLong) || errors.Is(err, errChecksumMismatch) {
		eventBroken.Log(event.Fields{"remote": g.remote, "error": err.Error()})
	}
	if err != nil {
		return err
	}
	g.generations.Observe(generation, g.remote)
	return g.dec.Decode(header)
}

// receiveBody decodes the body of the frame that receiveHeader read. If body is
// nil, it discards the body.
func (g *gobConn) receiveBody(body any) error {
	return g.dec.Decode(body)
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
	*gobConn
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
	c.sendErr = c.encode(r, request.args)
	close(request.encoded)
	if c.sendErr == nil {
		c.sendErr = c.write(r.ServiceMethod)
	}
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
type serverCodec struct{ *gobConn }

func (c serverCodec) ReadRequestHeader(r *rpc.Request) error { return c.receiveHeader(r) }
func (c serverCodec) ReadRequestBody(body any) error         { return c.receiveBody(body) }

func (c serverCodec) WriteResponse(r *rpc.Response, body any) error {
	err := c.encode(r, body)
	if err == nil {
		err = c.write(r.ServiceMethod)
	}
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
