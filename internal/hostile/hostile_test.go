package hostile

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/pkg/header"
)

const (
	// crowd is the number of connections of a crowd.
	crowd = 100
	// attackTime is how long a crowd sends.
	attackTime = 6 * time.Second
	// maxResidentBytes bounds the node's resident memory.
	maxResidentBytes = 48 << 20
	// maxDescriptors bounds the node's open descriptors; the rest of descriptorLimit
	// is for its own connections.
	maxDescriptors = 192
)

// hostileClient is what each client of a crowd sends over each of its connections.
type hostileClient struct {
	// listener is the listener that is attacked; "" means the one of callers.
	listener string
	// connections is the number of connections; 0 means crowd.
	connections int
	// begin is sent first, and then forever over and over; nothing more if it is empty.
	begin, forever string
	// pause is the time between two sendings of forever.
	pause time.Duration
	// read is set if the client reads responses.
	read bool
	// stay is set if the connections stay open until the ordinary request is answered.
	stay bool
}

// hostileClients returns the kinds of clients, by name.
func hostileClients(key string) map[string]hostileClient {
	request := func(method, headers string) string {
		return method + " /r/x HTTP/1.1\r\nHost: h\r\n" + header.Key + ": " + key + "\r\n" + headers + "\r\n"
	}
	var distinct, unfinished strings.Builder
	for i := range 1200 {
		fmt.Fprintf(&distinct, "x%d:\r\n", i)
	}
	for i := range 5500 {
		fmt.Fprintf(&unfinished, "%x:\n", i)
	}
	return map[string]hostileClient{
		"head over the limit":          {begin: request("GET", "X-Long: "+strings.Repeat("x", 64<<10)+"\r\n")},
		"line without end":             {begin: "GET /r/x HTTP/1.1\r\nX-Long: ", forever: strings.Repeat("x", 4096)},
		"short lines without end":      {begin: "GET /r/x HTTP/1.1\r\n", forever: strings.Repeat("a:\r\n", 1024)},
		"distinct lines, never ended":  {begin: "GET /r/x HTTP/1.1\r\n" + unfinished.String(), stay: true},
		"legal head of short lines":    {begin: request("GET", strings.Repeat("a:\r\n", 1700)), read: true},
		"legal head of distinct lines": {begin: request("GET", distinct.String()), read: true},
		"empty lines without end":      {forever: strings.Repeat("\r\n", 2048)},
		"empty lines after a request":  {begin: request("POST", "Content-Length: 0\r\n"), forever: strings.Repeat("\r\n", 2048), read: true},
		"body announced, not sent":     {begin: request("POST", "Content-Length: 1048576\r\n"), stay: true},
		"large body announced":         {begin: request("POST", "Content-Length: 4294967296\r\n"), forever: strings.Repeat("x", 64<<10)},
		"chunks without end":           {begin: request("POST", "Transfer-Encoding: chunked\r\n"), forever: "10000\r\n" + strings.Repeat("x", 64<<10) + "\r\n"},
		"bodies of legal size":         {begin: request("POST", "Content-Length: 1048576\r\n"), forever: strings.Repeat("x", 64<<10), read: true},
		"bodies almost whole":          {begin: request("POST", "Content-Length: 1048576\r\n") + strings.Repeat("x", 1<<20-1), stay: true},
		"pipelined, not read":          {forever: strings.Repeat(request("GET", ""), 20)},
		"slow head":                    {begin: "GET /r/x HTTP/1.1\r\n", forever: "a", pause: time.Second},
		"slow body":                    {begin: request("POST", "Content-Length: 1000\r\n"), forever: "x", pause: time.Second},
		"opened and left":              {connections: 2 * descriptorLimit, stay: true},
		"kept alive and left":          {connections: 2 * descriptorLimit, begin: request("GET", ""), read: true, stay: true},
		"left at the control listener": {listener: "backend", connections: 2 * descriptorLimit, begin: "GET /x HTTP/1.1\r\nHost: h\r\n\r\n", stay: true},
		"left at the peer listener":    {listener: "peer", connections: 2 * descriptorLimit, stay: true},
		"short lines at the operators": {listener: "operator", begin: "GET /x HTTP/1.1\r\n", forever: strings.Repeat("a:\r\n", 1024)},
	}
}

// TestClientsOutsideLimits guards against clients that use up the memory or the
// descriptors of a node: each kind of client is let loose on a node with lowered limits,
// which must stay within them and answer an ordinary request afterwards.
func TestClientsOutsideLimits(t *testing.T) {
	for name := range hostileClients("") {
		t.Run(name, func(t *testing.T) {
			n := startNode(t)
			before := n.peakMemory()
			release := n.attack(hostileClients(n.key)[name])
			n.awaitServed()
			release()
			peak := n.peakMemory()
			t.Logf("resident: %.1f MB before, %.1f MB at most; %d descriptors at most",
				float64(before)/(1<<20), float64(peak)/(1<<20), n.peakDescriptors)
			qt.Check(t, n.process.Ended(), qt.Equals, "", qt.Commentf("%s", n.logs.tail()))
			qt.Check(t, peak <= maxResidentBytes, qt.IsTrue, qt.Commentf("%d bytes", peak))
			qt.Check(t, n.peakDescriptors <= maxDescriptors, qt.IsTrue, qt.Commentf("%d descriptors", n.peakDescriptors))
		})
	}
}

// attack lets a crowd of clients send for attackTime. Release ends those that stay.
func (n *testNode) attack(c hostileClient) (release func()) {
	address := n.address("caller")
	if c.listener != "" {
		address = n.address(c.listener)
	}
	connections := crowd
	if c.connections != 0 {
		connections = c.connections
	}
	end := time.Now().Add(attackTime)
	done := make(chan struct{})
	var clients sync.WaitGroup
	for range connections {
		clients.Go(func() {
			for {
				conn := c.send(address, end)
				if c.stay {
					<-done
				}
				_ = conn.Close()
				if c.stay || time.Now().After(end) {
					return
				}
			}
		})
	}
	for time.Now().Before(end) {
		n.countDescriptors()
		time.Sleep(20 * time.Millisecond)
	}
	return func() { close(done); clients.Wait() }
}

// send opens a connection and sends until the end, or until the node closes it.
func (c *hostileClient) send(address string, end time.Time) io.Closer {
	conn, err := net.DialTimeout("tcp", address, time.Until(end))
	if err != nil {
		time.Sleep(10 * time.Millisecond)
		return io.NopCloser(nil)
	}
	_ = conn.SetDeadline(end)
	if c.read {
		go func() { _, _ = io.Copy(io.Discard, conn) }()
	}
	_, err = io.WriteString(conn, c.begin)
	if c.forever == "" {
		if !c.stay {
			var response [512]byte
			_, _ = conn.Read(response[:])
		}
		return conn
	}
	for forever := []byte(c.forever); err == nil && time.Now().Before(end); time.Sleep(c.pause) {
		_, err = conn.Write(forever)
	}
	return conn
}
