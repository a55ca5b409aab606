package proof

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/pkg/header"
	"curranthold.example/curranthold/pkg/object"
)

const (
	// badConnections is the number of concurrent connections for each kind of
	// input.
	badConnections = 300
	// maxNodeKB is the limit for the resident memory of a node, in KB.
	maxNodeKB = 128 << 10
	// closeTimeout is the time within which a node must close a connection on
	// which no complete header or handshake arrives.
	closeTimeout = 10 * time.Second
)

// badInput is what one misbehaving client sends to a node, and the response that the
// node must send.
type badInput struct {
	// send is written to the connection. If closeWrite is set, the write side of
	// the connection is then closed.
	send       string
	closeWrite bool
	// status, code and verdict are those of the expected response. A status of 0
	// means that the node must close the connection without a response.
	status  int
	code    string
	verdict string
	// peer selects the peer port in place of the caller port.
	peer bool
}

func badInputs(key string) map[string]badInput {
	keyHeader := header.Key + ": " + key + "\r\n"
	request := func(method, headers string) string {
		return method + " /peals/x HTTP/1.1\r\nHost: node\r\n" + headers + "\r\n"
	}
	return map[string]badInput{
		"slow-header":    {send: "GET /peals/x HTTP/1.1\r\nHost: no"},
		"truncated-body": {send: request("POST", keyHeader+"Content-Length: 1000\r\n") + "short", closeWrite: true, status: 400, code: "bad-request", verdict: "not-run"},
		"large-header":   {send: request("GET", "X-Large: "+strings.Repeat("x", 64<<10)+"\r\n"), status: http.StatusRequestHeaderFieldsTooLarge},
		"large-body":     {send: request("POST", keyHeader+"Content-Length: 2000000\r\n") + strings.Repeat("x", 2_000_000), status: 413, code: "request-too-large", verdict: "not-run"},
		// A request without a key is refused before its body is read.
		"keyless-body":   {send: request("POST", "Content-Length: 1000000\r\n"), status: 401, code: "key-missing", verdict: "not-run"},
		"wrong-deadline": {send: request("GET", header.Deadline+": soon\r\n"), status: 400, code: "bad-request", verdict: "not-run"},
		"no-http":        {send: "\x00\xff\x13garbage\r\n\r\n", status: 400},
		"peer-garbage":   {send: strings.Repeat("\xff\x00garbage", 1000), peer: true},
		"peer-silence":   {peer: true},
	}
}

// TestBadInput sends malformed and slow input to a node over many concurrent
// connections while a client account is served through the same node. All of the
// account's calls must be served, and the node's memory must stay within its limit.
func TestBadInput(t *testing.T) {
	t.Parallel()
	f := newFleet(t, []hostSpec{
		{"peals-a", "a", "peals", []string{"-slots", "30", "-service-time-ms", "5"}},
		{"peals-b", "a", "peals", []string{"-slots", "30", "-service-time-ms", "5"}},
	},
		objectJSON(object.KindAvailabilityZone, "a", `{"in-service": true}`),
		objectJSON(object.KindService, "peals", `{}`),
		objectJSON(object.KindClientAccount, "bern", `{"rate": 400, "burst": 200}`),
		objectJSON(object.KindRoute, "peals", `{"path-prefix": "/peals", "service": "peals", "urgency": "normal", "timeout-ms": 2000}`),
	)
	attacked := f.hostList[0]
	validCaller := &caller{host: attacked, key: f.createKey("bern", "bern-1")}
	ctx, cancel := context.WithCancel(f.ctx)
	var wg sync.WaitGroup
	wg.Go(func() { validCaller.run(ctx) })
	// The first calls through a new fleet may fail. Failures until the account is
	// served are not counted.
	f.await(awaitTimeout, "served calls", func() bool { return validCaller.servedCount() > 3 })
	failedBefore := validCaller.failedCount()
	before := residentKB(t, attacked)
	for name, input := range badInputs(validCaller.key) {
		f.sendBad(name, input, attacked)
	}
	idleConns := f.openIdle(attacked, badConnections)
	served := validCaller.servedCount()
	f.await(awaitTimeout, "served calls despite idle connections", func() bool { return validCaller.servedCount() > served+10 })
	after := residentKB(t, attacked)
	cancel()
	wg.Wait()
	for _, conn := range idleConns {
		_ = conn.Close()
	}
	t.Logf("resident memory: %d KB before, %d KB after; %d valid calls served, %d failed", before, after, validCaller.served, validCaller.failed-failedBefore)
	qt.Check(t, after < maxNodeKB, qt.IsTrue)
	qt.Check(t, validCaller.failed, qt.Equals, failedBefore, qt.Commentf("%s", validCaller.failure))
	qt.Check(t, validCaller.refused, qt.Equals, 0)
	qt.Check(t, f.metric(attacked, "curranthold-peer", "connections-refused") >= 2*badConnections, qt.IsTrue)
}

// sendBad sends the input over many concurrent connections and checks the responses.
func (f *fleet) sendBad(name string, input badInput, to *host) {
	f.t.Helper()
	address := to.callerAddress()
	if input.peer {
		address = to.address(peerListenPort)
	}
	responses := make([]string, badConnections)
	var wg sync.WaitGroup
	for i := range responses {
		wg.Go(func() { responses[i] = sendRaw(address, input) })
	}
	wg.Wait()
	want := "closed"
	if input.status != 0 {
		want = fmt.Sprintf("%d %s %s", input.status, input.code, input.verdict)
	}
	for _, response := range responses {
		if response != want {
			f.t.Errorf("%s: response %q, want %q", name, response, want)
			return
		}
	}
}

// sendRaw sends the input over a connection and describes the response.
func sendRaw(address string, input badInput) string {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(closeTimeout))
	// The write may fail, since the node may respond and close the connection
	// before it has read all of the input.
	_, _ = io.WriteString(conn, input.send)
	if input.closeWrite {
		_ = conn.(*net.TCPConn).CloseWrite()
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if os.IsTimeout(err) {
		return "still open"
	}
	if err != nil {
		return "closed"
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(response.Body)
	return fmt.Sprintf("%d %s %s", response.StatusCode, codeIn(body), response.Header.Get(header.Verdict))
}

// codeIn returns the error code in a JSON body, or "" if there is none.
func codeIn(body []byte) string {
	_, after, found := strings.Cut(string(body), `"code":"`)
	if !found {
		return ""
	}
	code, _, _ := strings.Cut(after, `"`)
	return code
}

// openIdle opens connections to the caller port and sends nothing over them.
func (f *fleet) openIdle(to *host, count int) []net.Conn {
	var conns []net.Conn
	for range count {
		conn, err := net.Dial("tcp", to.callerAddress())
		qt.Assert(f.t, err, qt.IsNil)
		conns = append(conns, conn)
	}
	return conns
}

// residentKB returns the resident memory of a host's node, in KB.
func residentKB(t testing.TB, h *host) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.node.PID()))
	qt.Assert(t, err, qt.IsNil)
	_, after, _ := strings.Cut(string(data), "VmRSS:")
	kb, err := strconv.Atoi(strings.Fields(after)[0])
	qt.Assert(t, err, qt.IsNil)
	return kb
}
