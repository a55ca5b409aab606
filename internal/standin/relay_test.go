package standin_test

import (
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"

	"curranthold.example/curranthold/internal/standin"
)

// testTimeout bounds the reads and writes of a connection.
const testTimeout = 10 * time.Second

// startRelay returns a relay, and the two ends of a connection through it.
func startRelay(t *testing.T) (*standin.Relay, net.Conn, net.Conn) {
	listener, err := standin.Listen(t.Context(), "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	relay, err := standin.NewRelay(listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	client, err := net.Dial("tcp", relay.Address())
	qt.Assert(t, err, qt.IsNil)
	server, err := listener.Accept()
	qt.Assert(t, err, qt.IsNil)
	for _, conn := range []net.Conn{client, server} {
		qt.Assert(t, conn.SetDeadline(time.Now().Add(testTimeout)), qt.IsNil)
	}
	t.Cleanup(func() {
		qt.Check(t, relay.Close(), qt.IsNil)
		_ = client.Close()
		_ = server.Close()
		_ = listener.Close()
	})
	return relay, client, server
}

func send(t *testing.T, conn net.Conn, text string) {
	_, err := io.WriteString(conn, text)
	qt.Assert(t, err, qt.IsNil)
}

func receive(t *testing.T, conn net.Conn, length int) string {
	data := make([]byte, length)
	_, err := io.ReadFull(conn, data)
	qt.Assert(t, err, qt.IsNil)
	return string(data)
}

func TestRelayCutsOneDirection(t *testing.T) {
	relay, client, server := startRelay(t)
	relay.Cut(standin.FromTarget)
	send(t, server, "answer")
	send(t, client, "request")
	qt.Assert(t, receive(t, server, 7), qt.Equals, "request")
	qt.Assert(t, client.SetReadDeadline(time.Now().Add(20*time.Millisecond)), qt.IsNil)
	_, err := client.Read(make([]byte, 1))
	qt.Assert(t, err, qt.ErrorMatches, ".*i/o timeout")
	qt.Assert(t, client.SetReadDeadline(time.Now().Add(testTimeout)), qt.IsNil)
	relay.Restore(standin.BothDirections)
	qt.Assert(t, receive(t, client, 6), qt.Equals, "answer")
	qt.Assert(t, server.Close(), qt.IsNil)
	_, err = client.Read(make([]byte, 1))
	qt.Assert(t, err, qt.Equals, io.EOF)
}

func TestRelayDelays(t *testing.T) {
	const delay = 30 * time.Millisecond
	relay, client, server := startRelay(t)
	relay.Delay(standin.ToTarget, delay)
	sent := time.Now()
	send(t, client, "request")
	receive(t, server, 7)
	qt.Assert(t, time.Since(sent) >= delay, qt.IsTrue)
}

func TestRelayResets(t *testing.T) {
	relay, client, server := startRelay(t)
	relay.Reset()
	for _, conn := range []net.Conn{client, server} {
		_, err := conn.Read(make([]byte, 1))
		qt.Assert(t, err, qt.ErrorMatches, ".*connection reset by peer")
	}
}

func TestRelayPassesInOrder(t *testing.T) {
	_, client, server := startRelay(t)
	data := make([]byte, 5<<20)
	for i := range data {
		data[i] = byte(i >> 8)
	}
	var group conc.WaitGroup
	group.Go(func() {
		_, err := client.Write(data)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, client.(*net.TCPConn).CloseWrite(), qt.IsNil)
	})
	got, err := io.ReadAll(server)
	group.Wait()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(got) == string(data), qt.IsTrue)
}
