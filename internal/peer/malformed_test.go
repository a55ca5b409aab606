package peer

import (
	"bytes"
	"net/rpc"
	"testing"

	qt "github.com/frankban/quicktest"
)

// rawMessage implements Raw.
type rawMessage struct{ data []byte }

func (m *rawMessage) RawBytes() []byte        { return m.data }
func (m *rawMessage) SetRawBytes(data []byte) { m.data = data }

// FuzzCompact guards against a message that crashes the node which decodes it, and against
// one that changes when it is encoded again.
func FuzzCompact(f *testing.F) {
	f.Add([]byte{1, 3, 'a', '.', 'b', bodyRaw, 'x'})
	f.Add([]byte{1, 0, bodyNone})
	f.Add([]byte{1, 0, bodyGob, 3, 4, 0, 1})
	f.Add([]byte{0xff, 0xff, 0xff})
	f.Add([]byte{1, 0xff, 0xff, 0x7f})
	f.Fuzz(func(t *testing.T, data []byte) {
		conn := &messageConn{compact: true, in: buffer{bytes.NewBuffer(bytes.Clone(data))}}
		var header rpc.Request
		var message rawMessage
		if conn.decodeCompactHeader(&header) != nil || conn.decodeCompactBody(&message) != nil || message.data == nil {
			return
		}
		again := &messageConn{compact: true, out: buffer{new(bytes.Buffer)}}
		qt.Assert(t, again.encodeCompact(&header, &message), qt.IsNil)
		decoded := &messageConn{compact: true, in: again.out}
		var second rpc.Request
		var copied rawMessage
		qt.Assert(t, decoded.decodeCompactHeader(&second), qt.IsNil)
		qt.Assert(t, decoded.decodeCompactBody(&copied), qt.IsNil)
		qt.Assert(t, second, qt.Equals, header)
		qt.Assert(t, copied.data, qt.DeepEquals, message.data)
	})
}

// TestNonces checks that only two nodes that know the compact format use it.
func TestNonces(t *testing.T) {
	qt.Check(t, isCompact(newNonce(true), newNonce(true)), qt.IsTrue)
	qt.Check(t, isCompact(newNonce(true), newNonce(false)), qt.IsFalse)
	qt.Check(t, isCompact(newNonce(false), newNonce(true)), qt.IsFalse)
	qt.Check(t, bytes.Equal(newNonce(true), newNonce(true)), qt.IsFalse)
}
