package proof

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"curranthold.example/curranthold/internal/call"
	"curranthold.example/curranthold/internal/peer"
	"curranthold.example/curranthold/pkg/header"
	"curranthold.example/curranthold/pkg/object"
)

const (
	// costPeers is the number of other hosts that each node has connections with, and
	// costIdleCallers the number of idle connections of callers.
	costPeers       = 80
	costIdleCallers = 60
	// costPeerBytes is the size of the body of the call that each of these hosts has made.
	costPeerBytes = 20_000
	// costWarmupCalls is the number of calls of each caller before the measurement, which
	// end the ramp of the cold start.
	costWarmupCalls = 100
	// costCalls is the number of calls in one measurement.
	costCalls = 300
	// earlierVariable names the environment variable with the directory of the commands of
	// an earlier build, which is then measured in turns with this one.
	earlierVariable = "CURRANTHOLD_EARLIER"
	// costIdleWindow is the time over which the cost without calls is measured, which
	// is subtracted.
	costIdleWindow = time.Second
)

// processUsage is what a node has used since its start.
type processUsage struct {
	processor                             float64 // in microseconds
	allocations, allocated, reads, writes float64
	liveHeap, heapSystem, stack           float64
}

// BenchmarkCostOfCall makes calls through an entry and an owner, both with connections of
// many other hosts and of idle callers, and reports what one call costs at each of the
// two: processor time, allocations, and system calls that read and write. It reports the
// memory of both nodes at the end. The cost of the same time without calls is subtracted.
// The costs are the medians of the measurements.
// At a low rate each call wakes idle processors, which makes it more expensive.
func BenchmarkCostOfCall(b *testing.B) {
	for _, load := range []costLoad{{60, 2, 0}, {600, 2, 0}, {150, 300, 20_000}} {
		name := fmt.Sprintf("rate=%d/service-ms=%d/bytes=%d", load.rate, load.serviceMs, load.bytes)
		b.Run(name, func(b *testing.B) { benchmarkCost(b, load) })
	}
}

// costLoad is the rate of the calls a second, their service time in milliseconds, and the
// size of their responses.
type costLoad struct{ rate, serviceMs, bytes int }

func benchmarkCost(b *testing.B, load costLoad) {
	fleets := []*costFleet{newCostFleet(b, load, "", binaryDirectory)}
	if directory := os.Getenv(earlierVariable); directory != "" {
		fleets = append(fleets, newCostFleet(b, load, "earlier-", directory))
	}
	for b.Loop() {
		for _, f := range fleets {
			f.measure(b, load.rate)
		}
	}
	for _, f := range fleets {
		f.report(b)
	}
}

// costFleet is a fleet whose cost of a call is measured.
type costFleet struct {
	*fleet
	prefix, url, key string
	costs            map[string][]processUsage
}

// newCostFleet starts a fleet with the commands in a directory. The names of its metrics
// have the prefix.
func newCostFleet(b *testing.B, load costLoad, prefix, directory string) *costFleet {
	own := binaryDirectory
	binaryDirectory = directory
	defer func() { binaryDirectory = own }()
	backend := []string{"-slots", "200", "-service-time-ms", strconv.Itoa(load.serviceMs), "-pad-bytes", strconv.Itoa(load.bytes)}
	f := newFleet(b, []hostSpec{{"entry", "a", "other", nil}, {"owner", "a", "echo", backend}},
		objectJSON(object.KindAvailabilityZone, "a", `{"in-service": true}`),
		objectJSON(object.KindService, "echo", `{}`),
		objectJSON(object.KindService, "other", `{}`),
		objectJSON(object.KindClientAccount, "bern", `{"rate": 100000, "burst": 10000}`),
		objectJSON(object.KindRoute, "echo", `{"path-prefix": "/echo", "service": "echo", "urgency": "normal"}`),
	)
	c := &costFleet{
		fleet: f, prefix: prefix, key: f.createKey("bern", "bern-1"),
		url: "http://" + f.hosts["entry"].callerAddress() + "/echo", costs: make(map[string][]processUsage),
	}
	f.await(awaitTimeout, "a served call", func() bool { return statusOf(b, http.DefaultClient, c.url, c.key) == http.StatusOK })
	for _, h := range f.hostList {
		connectPeers(b, h)
		connectIdleCallers(b, h)
	}
	callMany(b, c.url, c.key, costWarmupCalls)
	return c
}

// measure adds the costs of one measurement.
func (f *costFleet) measure(b *testing.B, rate int) {
	idle, idleTime := f.measureUsage(func() { time.Sleep(costIdleWindow) })
	used, usedTime := f.measureUsage(func() { callAtRate(b, f.url, f.key, rate) })
	for name := range f.hosts {
		f.costs[name] = append(f.costs[name], used[name].add(idle[name], -usedTime.Seconds()/idleTime.Seconds()))
	}
}

func (f *costFleet) report(b *testing.B) {
	for name, costs := range f.costs {
		name = f.prefix + name
		report := func(unit string, value func(processUsage) float64) {
			values := make([]float64, len(costs))
			for i, cost := range costs {
				values[i] = value(cost) / costCalls
			}
			slices.Sort(values)
			b.ReportMetric(values[len(values)/2], name+"-"+unit+"/call")
		}
		report("us", func(u processUsage) float64 { return u.processor })
		report("allocs", func(u processUsage) float64 { return u.allocations })
		report("B", func(u processUsage) float64 { return u.allocated })
		report("reads", func(u processUsage) float64 { return u.reads })
		report("writes", func(u processUsage) float64 { return u.writes })
	}
	for name := range f.costs {
		f.reportMemory(b, name)
	}
}

// callAtRate makes costCalls calls, each at its time whether or not the ones before have
// been answered.
func callAtRate(b *testing.B, url, key string, rate int) {
	transport := &http.Transport{MaxIdleConnsPerHost: costCalls}
	defer transport.CloseIdleConnections()
	httpClient := &http.Client{Transport: transport}
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	var wg sync.WaitGroup
	for range costCalls {
		<-ticker.C
		wg.Go(func() { callWhole(b, httpClient, url, key) })
	}
	wg.Wait()
}

// callWhole makes one call and reads the whole response, so that its connection is used
// again.
func callWhole(b *testing.B, httpClient *http.Client, url, key string) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
	qt.Check(b, err, qt.IsNil)
	request.Header.Set(header.Key, key)
	response, err := httpClient.Do(request)
	if !qt.Check(b, err, qt.IsNil) {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	qt.Check(b, response.StatusCode, qt.Equals, http.StatusOK)
}

// connectPeers opens the connections of other hosts to a node. Each makes one call, which
// is refused.
func connectPeers(b *testing.B, h *host) {
	secret := make([]byte, 32)
	for i := range secret {
		secret[i] = 0x5a
	}
	for range costPeers {
		pool := peer.NewPool(secret, h.ip+":1", noGenerations{})
		b.Cleanup(func() { _ = pool.Close() })
		request := call.Request{ID: "1", Service: "unknown", Body: make([]byte, costPeerBytes), Remaining: time.Second}
		packed, reply := request.Pack(), call.Packed{}
		err := pool.Call(context.Background(), h.address(peerPort), "Owner.Exchange", &packed, &reply)
		qt.Assert(b, err, qt.IsNil)
	}
}

type noGenerations struct{}

func (noGenerations) Current() uint64        { return 0 }
func (noGenerations) Observe(uint64, string) {}

// connectIdleCallers opens connections of callers and makes one call over each.
func connectIdleCallers(b *testing.B, h *host) {
	for range costIdleCallers {
		transport := new(http.Transport)
		b.Cleanup(transport.CloseIdleConnections)
		request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+h.callerAddress()+"/unknown", nil)
		qt.Assert(b, err, qt.IsNil)
		response, err := (&http.Client{Transport: transport}).Do(request)
		qt.Assert(b, err, qt.IsNil)
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
}

// measureUsage returns what the nodes used while load ran, and how long it ran.
func (f *fleet) measureUsage(load func()) (map[string]processUsage, time.Duration) {
	before := make(map[string]processUsage)
	for name, h := range f.hosts {
		before[name] = f.processUsage(h)
	}
	started := time.Now()
	load()
	took := time.Since(started)
	used := make(map[string]processUsage)
	for name, h := range f.hosts {
		used[name] = f.processUsage(h).add(before[name], -1)
	}
	return used, took
}

// add returns u plus the other usage times a factor.
func (u processUsage) add(other processUsage, factor float64) processUsage {
	u.processor += other.processor * factor
	u.allocations += other.allocations * factor
	u.allocated += other.allocated * factor
	u.reads += other.reads * factor
	u.writes += other.writes * factor
	return u
}

func (f *costFleet) reportMemory(b *testing.B, name string) {
	usage := f.processUsage(f.hosts[name])
	b.ReportMetric(usage.liveHeap/1e6, f.prefix+name+"-live-MB")
	b.ReportMetric(usage.heapSystem/1e6, f.prefix+name+"-heap-sys-MB")
	b.ReportMetric(usage.stack/1e6, f.prefix+name+"-stack-MB")
	b.ReportMetric(residentMegabytes(b, f.hosts[name].node.PID()), f.prefix+name+"-resident-MB")
}

// processUsage returns the usage of a host's node.
func (f *fleet) processUsage(h *host) processUsage {
	var published struct {
		Memory struct {
			Mallocs, TotalAlloc, NextGC, HeapSys, HeapReleased, StackInuse float64
		} `json:"memstats"`
	}
	qt.Assert(f.t, f.getJSON(h.operatorURL()+"/debug/vars", &published), qt.IsNil)
	m := published.Memory
	pid := h.node.PID()
	reads, writes := readWriteCalls(f.t, pid)
	return processUsage{
		processor: processMicroseconds(f.t, pid), allocations: m.Mallocs, allocated: m.TotalAlloc,
		reads: reads, writes: writes, liveHeap: m.NextGC / (1 + gcPercent()/100),
		heapSystem: m.HeapSys - m.HeapReleased, stack: m.StackInuse,
	}
}

// gcPercent returns the growth of the heap between two collections, which the nodes take
// from the environment of this process.
func gcPercent() float64 {
	percent := 100.0
	_, _ = fmt.Sscan(os.Getenv("GOGC"), &percent)
	return percent
}

// processMicroseconds returns the processor time of a process with the resolution of the
// kernel's clock.
func processMicroseconds(t testing.TB, pid int) float64 {
	// The clock of a process has its complement above three bits that select the
	// processor time of all threads (see clock_getcpuclockid).
	const allThreads = 2
	var used unix.Timespec
	qt.Assert(t, unix.ClockGettime(int32(^pid<<3|allThreads), &used), qt.IsNil)
	return math.Round(float64(used.Nano()) / 1e3)
}

// readWriteCalls returns the number of system calls with which a process has read and
// written.
func readWriteCalls(t testing.TB, pid int) (reads, writes float64) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	qt.Assert(t, err, qt.IsNil)
	for line := range strings.Lines(string(data)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		switch name {
		case "syscr":
			reads = parseNumber(t, value)
		case "syscw":
			writes = parseNumber(t, value)
		}
	}
	return reads, writes
}
