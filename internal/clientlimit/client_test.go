package clientlimit

import (
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const testMemory = 64 << 20

// testClient is a connection of a test.
type testClient struct {
	*Client
	// ended counts the calls of end, and refused those with a refusal.
	ended, refused int
}

func admit(g *Gate) *testClient {
	c := new(testClient)
	c.Client = g.Admit(func(refuse bool) {
		c.ended++
		if refuse {
			c.refused++
		}
	})
	return c
}

// TestHeads guards against heads that together exceed their part, and against ordinary
// clients being refused in place of those with expensive heads.
func TestHeads(t *testing.T) {
	tests := map[string]struct{ bytes, lines int }{
		"long lines":         {bytes: 4096, lines: 0},
		"short lines":        {bytes: 4096, lines: 1365},
		"a byte at a time":   {bytes: 1},
		"a line at a time":   {bytes: 2, lines: 1},
		"ordinary sections":  {bytes: 700, lines: 12},
		"many empty lines":   {bytes: 4096, lines: 4096},
		"bytes and no lines": {bytes: 1 << 20},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := New(Limits{MemoryBytes: testMemory, MaxHeadBytes: 32 << 10})
			gate := b.Gate(0)
			ordinary := admit(gate)
			qt.Check(t, ordinary.Received(1, 0), qt.IsTrue)
			open := make([]*testClient, 50)
			for i := range open {
				open[i] = admit(gate)
			}
			for range 2000 {
				for i, c := range open {
					if !c.Received(test.bytes, test.lines) {
						open[i] = admit(gate)
					}
					qt.Assert(t, b.InUse(Heads) <= b.Limit(Heads), qt.IsTrue)
				}
			}
			qt.Check(t, ordinary.ended, qt.Equals, 0)
			for _, c := range open {
				c.Leave()
			}
			ordinary.Leave()
			qt.Check(t, b.total(), qt.Equals, int64(0))
		})
	}
}

// TestLegalHead guards against a single request within the declared limits being refused.
func TestLegalHead(t *testing.T) {
	for name, memory := range map[string]int64{"small": 32 << 20, "smallest host": 184 << 20, "none": 0} {
		t.Run(name, func(t *testing.T) {
			b := New(Limits{MemoryBytes: memory, MaxHeadBytes: 32 << 10, MaxBodyBytes: 1 << 20})
			c := admit(b.Gate(10))
			qt.Check(t, c.Received(16<<10, (16<<10)/3), qt.IsTrue)
			qt.Check(t, c.SetState(Active), qt.IsTrue)
			h := make(http.Header)
			for range (16 << 10) / 3 {
				h.Add("A", "")
			}
			qt.Check(t, b.Take(Requests, RequestCost(h)), qt.IsTrue)
			qt.Check(t, b.Take(Bodies, BodyCost(2<<20)), qt.IsTrue)
		})
	}
}

// TestConnections guards against connections that use up the descriptors, and against
// closing one whose request is in progress.
func TestConnections(t *testing.T) {
	const limit = 10
	b := New(Limits{MemoryBytes: testMemory})
	gate, other := b.Gate(limit), b.Gate(limit)
	active := admit(gate)
	qt.Check(t, active.SetState(Active), qt.IsTrue)
	idle := admit(gate)
	idle.SetState(Active)
	idle.SetState(Idle)
	elsewhere := admit(other)
	var fresh []*testClient
	for range limit - 1 {
		fresh = append(fresh, admit(gate))
	}
	qt.Check(t, idle.ended, qt.Equals, 1)
	qt.Check(t, idle.IsEnded(), qt.IsTrue)
	qt.Check(t, idle.SetState(Active), qt.IsFalse)
	qt.Check(t, idle.refused, qt.Equals, 0)
	for range 3 * limit {
		qt.Check(t, admit(gate).Client, qt.IsNotNil)
	}
	qt.Check(t, gate.open, qt.Equals, limit)
	qt.Check(t, fresh[0].ended, qt.Equals, 1)
	qt.Check(t, active.ended, qt.Equals, 0)
	qt.Check(t, elsewhere.ended, qt.Equals, 0)
	for range limit {
		admit(other).SetState(Active)
	}
	qt.Check(t, admit(other).Client, qt.IsNil, qt.Commentf("each has a request in progress"))
}

// TestConnectionsMemory guards against more connections than the memory is enough for.
func TestConnectionsMemory(t *testing.T) {
	b := New(Limits{MemoryBytes: testMemory})
	gate := b.Gate(0)
	for range 10_000 {
		qt.Assert(t, admit(gate).Client, qt.IsNotNil)
		qt.Assert(t, b.InUse(Connections) <= b.Limit(Connections), qt.IsTrue)
	}
}

// TestReadAhead guards against heads that are not counted because they arrived behind
// another request, and against counting the end of a body as a head.
func TestReadAhead(t *testing.T) {
	b := New(Limits{MemoryBytes: testMemory, MaxHeadBytes: 32 << 10})
	c := admit(b.Gate(0))
	c.SetState(Active)
	c.Received(1, 1)
	c.Received(4096, 1000)
	c.Received(1, 0)
	c.SetState(Idle)
	qt.Check(t, b.InUse(Heads), qt.Equals, headCost(4097, 1000))
	c.SetState(Active)
	c.SetState(Idle)
	qt.Check(t, b.InUse(Heads), qt.Equals, headCost(4097, 1000), qt.Commentf("a third head may be there"))
	c.SetState(Active)
	qt.Check(t, b.InUse(Heads), qt.Equals, int64(0))
	c.Received(4096, 1000)
	c.Received(8192, 1000)
	c.SetState(Idle)
	qt.Check(t, b.InUse(Heads), qt.Equals, int64(0))
	c.SetState(Active)
	c.Received(4096, 1000)
	c.SetState(Idle)
	c.Await()
	qt.Check(t, b.InUse(Heads), qt.Equals, int64(0))
}

// TestResponses guards against responses that slow readers leave, and against aborting
// one whose reader goes on.
func TestResponses(t *testing.T) {
	b := New(Limits{MemoryBytes: testMemory, MaxResponseBytes: 1 << 20})
	aborted := make(map[int]bool)
	begin := func(i int) *Response { return b.BeginResponse(1<<20, func() { aborted[i] = true }) }
	extend := func() {}
	reader := begin(0)
	for i := 1; i < 100; i++ {
		qt.Assert(t, reader.Continue(extend), qt.IsTrue)
		begin(i)
		qt.Assert(t, b.InUse(Responses) <= b.Limit(Responses), qt.IsTrue)
	}
	reader.End()
	qt.Check(t, aborted[0], qt.IsFalse)
	qt.Check(t, aborted[1], qt.IsTrue)
}

// TestFallen guards against memory that is kept after a load, and against collecting
// garbage without need.
func TestFallen(t *testing.T) {
	b := New(Limits{MemoryBytes: testMemory, MaxBodyBytes: 1 << 20})
	qt.Check(t, b.Fallen(), qt.IsFalse)
	qt.Check(t, b.Take(Requests, 1<<16), qt.IsTrue)
	b.Return(Requests, 1<<16)
	qt.Check(t, b.Fallen(), qt.IsFalse)
	qt.Check(t, b.Take(Bodies, b.Limit(Bodies)), qt.IsTrue)
	qt.Check(t, b.Take(Bodies, 1), qt.IsFalse)
	qt.Check(t, b.Fallen(), qt.IsFalse)
	b.Return(Bodies, b.Limit(Bodies))
	qt.Check(t, b.Fallen(), qt.IsTrue)
	qt.Check(t, b.Fallen(), qt.IsFalse)
}

// TestRequestCost guards against counting a header by its bytes on the wire.
func TestRequestCost(t *testing.T) {
	h := http.Header{"A": strings.Split(strings.Repeat(",", 999), ",")}
	qt.Check(t, RequestCost(h) >= requestBytes+1000*lineBytes, qt.IsTrue)
	var b *Budget
	qt.Check(t, b.Take(Requests, RequestCost(h)), qt.IsTrue)
}
