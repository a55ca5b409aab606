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
	// badConnections is the number of connections of each kind at a time.
	badConnections = 300
	// maxNodeKB is the resident memory that a node may take, in KB.
	maxNodeKB = 128 << 10
	// closedWithin bounds the time for which a node keeps a connection that
	// does not bring a whole header or handshake.
	closedWithin = 10 * time.Second
)

// badInput is what one misbehaving client sends to a node.
type badInput struct {
	// send is written to the connection, whose writing side is closed after it
	// if half is set.
	send string
	half bool
	// status is the answer's; 0 where the connection is closed without one.
	status  int
	code    string
	verdict string
	peer    bool
}

func badInputs(key string) map[string]badInput {
	keyed := header.Key + ": " + key + "\r\n"
	request := func(method, headers string) string {
		return method + " /peals/x HTTP/1.1\r\nHost: node\r\n" + headers + "\r\n"
	}
	return map[string]badInput{
		"slow-header":    {send: "GET /peals/x HTTP/1.1\r\nHost: no"},
		"truncated-body": {send: request("POST", keyed+"Content-Length: 1000\r\n") + "short", half: true, status: 400, code: "bad-request", verdict: "not-run"},
		"large-header":   {send: request("GET", "X-Large: "+strings.Repeat("x", 64<<10)+"\r\n"), status: http.StatusRequestHeaderFieldsTooLarge},
		"large-body":     {send: request("POST", keyed+"Content-Length: 2000000\r\n") + strings.Repeat("x", 2_000_000), status: 413, code: "request-too-large", verdict: "not-run"},
		// Without a key the body is not even read.
		"keyless-body":   {send: request("POST", "Content-Length: 1000000\r\n"), status: 401, code: "key-missing", verdict: "not-run"},
		"wrong-deadline": {send: request("GET", header.Deadline+": soon\r\n"), status: 400, code: "bad-request", verdict: "not-run"},
		"no-http":        {send: "\x00\xff\x13garbage\r\n\r\n", status: 400},
		"peer-garbage":   {send: strings.Repeat("\xff\x00garbage", 1000), peer: true},
		"peer-silence":   {peer: true},
	}
}

// TestBadInput sends malformed and slow input to a node in many connections at a
// time, while a client account is served through it.
func TestBadInput(t *testing.T) {
	t.Parallel()
	f := newFleet(t, []hostPlan{
		{"peals-a", "a", "peals", []string{"-slots", "30", "-service-time-ms", "5"}},
		{"peals-b", "a", "peals", []string{"-slots", "30", "-service-time-ms", "5"}},
	},
		declare(object.KindAvailabilityZone, "a", `{"in-service": true}`),
		declare(object.KindService, "peals", `{}`),
		declare(object.KindClientAccount, "bern", `{"rate": 400, "burst": 200}`),
		declare(object.KindRoute, "peals", `{"path-prefix": "/peals", "service": "peals", "urgency": "normal", "timeout-ms": 2000}`),
	)
	attacked := f.order[0]
	good := &caller{host: attacked, key: f.createKey("bern", "bern-1")}
	ctx, cancel := context.WithCancel(f.ctx)
	var wg sync.WaitGroup
	wg.Go(func() { good.run(ctx) })
	// The hosts of a new fleet give out tokens only after a while.
	f.await(eventually, "served calls", func() bool { return good.servedCount() > 3 })
	unserved := good.failedCount()
	before := residentKB(t, attacked)
	for name, input := range badInputs(good.key) {
		f.sendBad(name, input, attacked)
	}
	held := f.openIdle(attacked, badConnections)
	served := good.servedCount()
	f.await(eventually, "calls beside idle connections", func() bool { return good.servedCount() > served+10 })
	after := residentKB(t, attacked)
	cancel()
	wg.Wait()
	for _, conn := range held {
		_ = conn.Close()
	}
	t.Logf("resident memory: %d KB before, %d KB after; %d calls served beside, %d not", before, after, good.served, good.failed-unserved)
	qt.Check(t, after < maxNodeKB, qt.IsTrue)
	qt.Check(t, good.failed, qt.Equals, unserved, qt.Commentf("%s", good.failure))
	qt.Check(t, good.refused, qt.Equals, 0)
	qt.Check(t, f.metric(attacked, "curranthold-peer", "connections-refused") >= 2*badConnections, qt.IsTrue)
}

// sendBad sends the input in many connections at a time and checks the answers.
func (f *fleet) sendBad(name string, input badInput, to *host) {
	f.t.Helper()
	address := to.caller()
	if input.peer {
		address = to.address(realPeerPort)
	}
	answers := make([]string, badConnections)
	var wg sync.WaitGroup
	for i := range answers {
		wg.Go(func() { answers[i] = sendRaw(address, input) })
	}
	wg.Wait()
	want := "closed"
	if input.status != 0 {
		want = fmt.Sprintf("%d %s %s", input.status, input.code, input.verdict)
	}
	for _, answer := range answers {
		if answer != want {
			f.t.Errorf("%s: answer %q, want %q", name, answer, want)
			return
		}
	}
}

// sendRaw sends the input over a connection and describes the answer.
func sendRaw(address string, input badInput) string {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(closedWithin))
	// The node may answer and close before all is written.
	_, _ = io.WriteString(conn, input.send)
	if input.half {
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

// codeIn returns the code of an error's body, or nothing.
func codeIn(body []byte) string {
	_, after, found := strings.Cut(string(body), `"code":"`)
	if !found {
		return ""
	}
	code, _, _ := strings.Cut(after, `"`)
	return code
}

// openIdle opens connections and sends nothing.
func (f *fleet) openIdle(to *host, count int) []net.Conn {
	var conns []net.Conn
	for range count {
		conn, err := net.Dial("tcp", to.caller())
		qt.Assert(f.t, err, qt.IsNil)
		conns = append(conns, conn)
	}
	return conns
}

// residentKB returns the resident memory of a host's node.
func residentKB(t testing.TB, h *host) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.node.PID()))
	qt.Assert(t, err, qt.IsNil)
	_, after, _ := strings.Cut(string(data), "VmRSS:")
	kb, err := strconv.Atoi(strings.Fields(after)[0])
	qt.Assert(t, err, qt.IsNil)
	return kb
}
