package peer

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"net/rpc"
)

// The compact format of a frame's content, which takes less processor time and memory than
// the gob format:
//
//	request:  sequence number, method, kind of body, body
//	response: sequence number, error text, kind of body, body
//
// Numbers are varints, and texts follow their length. A body of kind bodyGob is part of
// the gob stream of the connection.

// Raw is a message that contains its own encoding. Compact connections transfer it as it
// is.
type Raw interface {
	// RawBytes returns the encoding, which is not modified.
	RawBytes() []byte
	// SetRawBytes sets the encoding, which belongs to the message from then on.
	SetRawBytes(data []byte)
}

// The kinds of bodies.
const (
	bodyGob byte = iota
	bodyRaw
	// bodyNone is the kind of the body of an error response.
	bodyNone
)

var errMalformed = errors.New("peer: malformed message")

// lastText is the text that was read last. Most messages of a connection have the same
// method, for which no memory is allocated again.
type lastText struct{ text string }

func (t *lastText) from(data []byte) string {
	if string(data) != t.text {
		t.text = string(data)
	}
	return t.text
}

func (g *messageConn) encodeCompact(header, body any) error {
	switch header := header.(type) {
	case *rpc.Request:
		g.appendHeader(header.Seq, header.ServiceMethod)
	case *rpc.Response:
		g.appendHeader(header.Seq, header.Error)
		if header.Error != "" {
			return g.out.WriteByte(bodyNone)
		}
	}
	if raw, ok := body.(Raw); ok {
		_ = g.out.WriteByte(bodyRaw)
		_, err := g.out.Write(raw.RawBytes())
		return err
	}
	_ = g.out.WriteByte(bodyGob)
	return g.encodeGob(body)
}

func (g *messageConn) appendHeader(seq uint64, text string) {
	b := binary.AppendUvarint(g.out.AvailableBuffer(), seq)
	b = binary.AppendUvarint(b, uint64(len(text)))
	_, _ = g.out.Write(append(b, text...))
}

func (g *messageConn) decodeCompactHeader(header any) error {
	seq, err := binary.ReadUvarint(&g.in)
	if err != nil {
		return errMalformed
	}
	length, err := binary.ReadUvarint(&g.in)
	if err != nil || length > uint64(g.in.Len()) {
		return errMalformed
	}
	text := g.in.Next(int(length))
	switch header := header.(type) {
	case *rpc.Request:
		header.Seq, header.ServiceMethod = seq, g.methods.from(text)
	case *rpc.Response:
		header.Seq, header.Error = seq, string(text)
	}
	return nil
}

func (g *messageConn) decodeCompactBody(body any) error {
	kind, err := g.in.ReadByte()
	if err != nil {
		return errMalformed
	}
	if kind == bodyGob {
		return g.decodeGob(body)
	}
	raw, ok := body.(Raw)
	switch {
	case body == nil:
		return nil
	case kind != bodyRaw || !ok:
		return fmt.Errorf("%w: body of kind %d for %T", errMalformed, kind, body)
	}
	raw.SetRawBytes(bytes.Clone(g.in.Bytes()))
	return nil
}
