package proof

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/pkg/object"
)

const (
	// idleWindow is the time over which an idle fleet is measured.
	idleWindow = 10 * time.Second
	// ticksPerSecond is the number of clock ticks in a second of processor time
	// in /proc.
	ticksPerSecond = 100
	// idleSettleTime is the time between the start of a fleet and its measurement.
	idleSettleTime = 15 * time.Second
)

// BenchmarkIdleControl measures the control traffic and the resource use of a fleet
// without calls. It reports the mean over the nodes of the bytes sent by each
// control service, and of the processor time and memory of the process. It does not
// wait for the hosts' quota fractions as newFleet does, and reports their sum.
func BenchmarkIdleControl(b *testing.B) {
	for _, hosts := range []int{4, 16} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) { benchmarkIdle(b, hosts) })
	}
}

func benchmarkIdle(b *testing.B, hosts int) {
	var specs []hostSpec
	for i := range hosts {
		specs = append(specs, hostSpec{fmt.Sprintf("host-%d", i), string('a' + rune(i%2)), "echo", nil})
	}
	f := startFleet(b, nil, specs,
		objectJSON(object.KindAvailabilityZone, "a", `{"in-service": true}`),
		objectJSON(object.KindAvailabilityZone, "b", `{"in-service": true}`),
		objectJSON(object.KindService, "echo", `{}`),
		objectJSON(object.KindClientAccount, "bern", `{"rate": 1000, "burst": 1000}`),
		objectJSON(object.KindRoute, "echo", `{"path-prefix": "/echo", "service": "echo", "urgency": "normal"}`),
	)
	time.Sleep(idleSettleTime)
	for b.Loop() {
		before := f.usage(b)
		time.Sleep(idleWindow)
		after := f.usage(b)
		for name, value := range after {
			if unit, gauge := strings.CutSuffix(name, "-gauge"); gauge {
				b.ReportMetric(value/float64(hosts), unit)
				continue
			}
			b.ReportMetric((value-before[name])/idleWindow.Seconds()/float64(hosts), name)
		}
	}
}

// usage returns the control traffic and the resource use, summed over all nodes. The
// names are the units that the benchmark reports. A value whose name ends with
// "-gauge" is a gauge; all others are counters.
func (f *fleet) usage(t testing.TB) map[string]float64 {
	sum := make(map[string]float64)
	for _, h := range f.hostList {
		for name, value := range f.peerCounters(t, h) {
			if service, found := strings.CutSuffix(name, "-sent-bytes"); found {
				sum[service+"-sent-B/s"] += value
				sum["all-sent-B/s"] += value
			}
			if name == "connections-opened" {
				sum["opened-connections/s"] += value
			}
		}
		// The benchmark divides by the number of hosts, but reports the sum of the
		// quota fractions.
		sum["quota-fraction-%-gauge"] += f.metric(h, "curranthold-quota", "own-fraction-millionths") / 1e4 * float64(len(f.hostList))
		sum["platform-calls/s"] += f.metric(h, "curranthold-platform", "calls")
		sum["core-%"] += processorSeconds(t, h.node.PID()) * 100
		sum["resident-MB-gauge"] += residentMegabytes(t, h.node.PID())
	}
	return sum
}

// peerCounters returns the metrics of a node's messages to other nodes.
func (f *fleet) peerCounters(t testing.TB, h *host) map[string]float64 {
	var groups map[string]json.RawMessage
	qt.Assert(t, f.getJSON(h.operatorURL()+"/debug/vars", &groups), qt.IsNil)
	var counters map[string]float64
	qt.Assert(t, json.Unmarshal(groups["curranthold-peer"], &counters), qt.IsNil)
	return counters
}

// processorSeconds returns the processor time that a process has used in user and
// system mode.
func processorSeconds(t testing.TB, pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	qt.Assert(t, err, qt.IsNil)
	fields := bytes.Fields(data[bytes.LastIndexByte(data, ')')+1:])
	const user, system = 11, 12
	return (parseNumber(t, string(fields[user])) + parseNumber(t, string(fields[system]))) / ticksPerSecond
}

// residentMegabytes returns the resident memory of a process, in megabytes.
func residentMegabytes(t testing.TB, pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	qt.Assert(t, err, qt.IsNil)
	pages := parseNumber(t, strings.Fields(string(data))[1])
	return pages * float64(os.Getpagesize()) / 1e6
}

func parseNumber(t testing.TB, text string) float64 {
	value, err := strconv.ParseFloat(text, 64)
	qt.Assert(t, err, qt.IsNil)
	return value
}
