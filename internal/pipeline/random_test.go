package pipeline

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"
	"pgregory.net/rapid"
)

// scriptedRequest is a request of a random client. Its path is its number.
type scriptedRequest struct {
	raw, path        string
	awaitsTurn, ends bool
}

func drawRequest(t *rapid.T, number int) scriptedRequest {
	r := scriptedRequest{path: fmt.Sprintf("/%d", number)}
	query := fmt.Sprintf("?sleep=%dus&size=%d",
		rapid.SampledFrom([]int{0, 0, 100, 500, 3000}).Draw(t, "sleep"),
		rapid.SampledFrom([]int{0, 0, 10, 3000, 20_000}).Draw(t, "size"))
	switch rapid.IntRange(0, 19).Draw(t, "end") {
	case 0:
		query, r.ends = query+"&close", true
	case 1:
		query, r.ends = query+"&abort", true
	}
	if rapid.IntRange(0, 3).Draw(t, "turn") == 0 {
		query, r.awaitsTurn = query+"&turn", true
	}
	target := r.path + query
	switch rapid.IntRange(0, 11).Draw(t, "kind") {
	case 0:
		r.raw = post(target, strings.Repeat("b", rapid.SampledFrom([]int{0, 1, 6000}).Draw(t, "body")))
	case 1:
		r.raw = "POST " + target + " HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbb\r\n0\r\n\r\n"
	case 2:
		r.raw = strings.Replace(get(target), "\r\n\r\n", "\r\nX-Long: "+strings.Repeat("l", 5000)+"\r\n\r\n", 1)
	case 3:
		r.raw = strings.ReplaceAll(get(target), "\r\n", "\n")
	default:
		r.raw = get(target)
	}
	return r
}

// sequentially returns the responses of a server to a client that sends each request when the
// last is answered.
func sequentially(t testing.TB, s *testServer, requests []scriptedRequest) (responses []string) {
	c := s.dial(t)
	defer func() { _ = c.Close() }()
	for _, r := range requests {
		c.send(r.raw)
		body, err := c.receive()
		if err != nil {
			return responses
		}
		responses = append(responses, body)
	}
	return responses
}

// TestAsSequential sends random requests with random arrivals, response sizes, closes and
// handler times, and compares the responses with those of a server without read-ahead whose
// client waits for each response. It guards against responses that are lost, delivered twice
// or out of order, requests that run twice, and requests that start before their turn.
func TestAsSequential(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var requests []scriptedRequest
		var stream strings.Builder
		for i := range rapid.IntRange(1, 25).Draw(rt, "requests") {
			requests = append(requests, drawRequest(rt, i))
			stream.WriteString(requests[i].raw)
		}
		config := defaults()
		config.Requests = rapid.IntRange(1, 10).Draw(rt, "bound")
		config.TotalBytes = int64(rapid.SampledFrom([]int{1, 30_000, 100_000, 1 << 20}).Draw(rt, "total"))
		want := runOnce(t, Config{}, func(s *testServer) []string { return sequentially(t, s, requests) }, requests)
		how := rapid.SampledFrom([]interruption{none, none, clientLeaves, shutdown}).Draw(rt, "interruption")
		after := rapid.IntRange(0, 10).Draw(rt, "after")
		got := runOnce(t, config, func(s *testServer) []string {
			return pipelined(rt, t, s, stream.String(), how, after)
		}, requests)
		if how != none {
			// What is answered is a beginning.
			want = want[:min(len(got), len(want))]
		}
		if !slices.Equal(got, want) {
			rt.Fatalf("got %d responses, want %d: %.200q, want %.200q", len(got), len(want), got, want)
		}
	})
}

// runOnce plays the requests against a server and checks how often each has run.
func runOnce(t *testing.T, config Config, play func(*testServer) []string, requests []scriptedRequest) (responses []string) {
	t.Run("", func(t *testing.T) {
		s := newTestServer(t, config)
		responses = play(s)
		closed := false
		for i, r := range requests {
			qt.Assert(t, s.ran(r.path) <= 1, qt.IsTrue)
			if i < len(responses) {
				qt.Assert(t, s.ran("begun "+r.path), qt.Equals, 1)
			}
			if closed && r.awaitsTurn {
				qt.Assert(t, s.ran("begun "+r.path), qt.Equals, 0)
			}
			closed = closed || r.ends
		}
	})
	return responses
}

// interruption is what happens after some responses.
type interruption int

const (
	none interruption = iota
	clientLeaves
	shutdown
)

// pipelined sends the stream in random pieces with random pauses, and reads the responses
// at the same time. The interruption comes after the given number of responses.
func pipelined(rt *rapid.T, t testing.TB, s *testServer, stream string, how interruption, after int) (responses []string) {
	c := s.dial(t)
	var pieces []string
	for len(stream) > 0 {
		n := min(len(stream), rapid.SampledFrom([]int{1, 7, 60, 500, 5000, 100_000}).Draw(rt, "piece"))
		pieces, stream = append(pieces, stream[:n]), stream[n:]
	}
	pause := time.Duration(rapid.SampledFrom([]int{0, 0, 200, 1000}).Draw(rt, "pause")) * time.Microsecond
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		for i, piece := range pieces {
			if _, err := io.WriteString(c, piece); err != nil {
				return // The server has closed the connection.
			}
			if i < 50 {
				time.Sleep(pause)
			}
		}
		_ = c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	}()
	var stopping conc.WaitGroup
	for how != clientLeaves || len(responses) < after {
		if len(responses) == after && how == shutdown {
			stopping.Go(func() { qt.Check(t, s.server.Shutdown(context.Background()), qt.IsNil) })
		}
		body, err := c.receive()
		if err != nil {
			break
		}
		responses = append(responses, body)
	}
	_ = c.Close()
	<-sent
	stopping.Wait()
	return responses
}

// FuzzHead checks that the end of a request, where it is known, is the one that net/http
// finds. Else bytes of one request could be taken for another.
func FuzzHead(f *testing.F) {
	for _, seed := range []string{
		get("/"), post("/p", "body"), get("/a") + get("/b"), "GET / HTTP/1.1\nHost: h\n\n",
		"\r\n\r\n" + get("/"), "GET / HTTP/1.1\r\nHost: h\r\n \r\n\r\n", "HEAD /a?b=%20 HTTP/1.1\r\nhost:h\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
		"GET / HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc", "GET  / HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\nconnection: Keep-Alive\r\n\r\nrest", "GET / HTTP/1.1\r\nA: b\rc\r\n\r\n",
	} {
		f.Add([]byte(seed), uint8(0))
		f.Add([]byte(seed), uint8(9))
	}
	f.Fuzz(func(t *testing.T, data []byte, piece uint8) {
		checkWithNetHTTP(t, data, new(framer).observe(data))
		whole, found := requestEnds(data, len(data))
		split, foundSplit := requestEnds(data, max(int(piece), 1))
		if found && foundSplit {
			qt.Assert(t, slices.Equal(split, whole), qt.IsTrue, qt.Commentf("%v, want %v", split, whole))
		}
	})
}

// requestEnds returns where requests end in the data if it is read in pieces of the given
// size. It returns false if an end is not known.
func requestEnds(data []byte, piece int) (ends []int, ok bool) {
	var f framer
	for at := 0; at < len(data); {
		at += f.observe(data[at:min(at+piece, len(data))])
		if f.lost {
			return nil, false
		}
		if f.atBoundary() {
			ends = append(ends, at)
		}
	}
	return ends, true
}

// checkWithNetHTTP compares the end n of the first request with that of net/http.
func checkWithNetHTTP(t *testing.T, data []byte, n int) {
	var f framer
	f.observe(data)
	if len(data) == 0 || !f.atBoundary() {
		return
	}
	source := bytes.NewReader(data)
	reader := bufio.NewReader(source)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return // The server closes the connection.
	}
	_, err = io.Copy(io.Discard, request.Body)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(data)-source.Len()-reader.Buffered(), qt.Equals, n)
	if safe := completeSafeHead(data); safe > 0 {
		qt.Assert(t, safe, qt.Equals, n)
		qt.Assert(t, request.ContentLength, qt.Equals, int64(0))
	}
}
