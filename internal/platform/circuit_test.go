package platform

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestCircuit(t *testing.T) {
	now := time.Unix(0, 0)
	var c circuitBreaker
	for range circuitThreshold - 1 {
		qt.Assert(t, c.fail(c.allow(now), now), qt.IsFalse)
	}
	qt.Assert(t, c.fail(c.allow(now), now), qt.IsTrue)
	qt.Assert(t, c.allow(now), qt.Equals, rejected)

	now = now.Add(probeInterval)
	probe := c.allow(now)
	qt.Assert(t, probe, qt.Equals, allowedAsProbe)
	now = now.Add(10 * probeInterval)
	qt.Assert(t, c.allow(now), qt.Equals, rejected) // one probe at a time
	c.fail(allowed, now)                            // a request that was allowed before the circuit opened
	qt.Assert(t, c.allow(now), qt.Equals, rejected)
	qt.Assert(t, c.fail(probe, now), qt.IsFalse)
	qt.Assert(t, c.allow(now), qt.Equals, rejected)

	now = now.Add(probeInterval)
	c.abandon(c.allow(now))
	probe = c.allow(now)
	qt.Assert(t, probe, qt.Equals, allowedAsProbe)
	qt.Assert(t, c.succeed(probe), qt.IsTrue)
	qt.Assert(t, c.allow(now), qt.Equals, allowed)
	qt.Assert(t, c.fail(allowed, now), qt.IsFalse) // the count of failures starts again at zero
}

func BenchmarkCircuit(b *testing.B) {
	b.ReportAllocs()
	var c circuitBreaker
	now := time.Unix(0, 0)
	for b.Loop() {
		c.succeed(c.allow(now))
	}
}
