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

// send encodes header and body into one frame and writes it. The bytes are counted
// for the service of the net/rpc method.
func (g *gobConn) send(header, body any, method string) error {
	beginFrame(&g.out)
	if err := g.enc.Encode(header); err != nil {
		return err
	}
	if err := g.enc.Encode(body); err != nil {
		return err
	}
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

// requestBody is the body of a request. The flag started is set before the request is
// encoded: while it is not set, no part of the request has been sent.
type requestBody struct {
	args    any
	started atomic.Bool
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
	request.started.Store(true)
	c.sendErr = c.send(r, request.args, r.ServiceMethod)
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
	err := c.send(r, body, r.ServiceMethod)
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
