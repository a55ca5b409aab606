package node

import (
	"fmt"
	"maps"
	"runtime"
	"slices"
	"testing"

	"curranthold.example/curranthold/internal/balance"
	"curranthold.example/curranthold/internal/claim"
	"curranthold.example/curranthold/internal/configuration"
	"curranthold.example/curranthold/internal/membership"
	"curranthold.example/curranthold/internal/quota"
	"curranthold.example/curranthold/internal/settings"
)

// memberChanges are changes of one member, each of which undoes itself when it is
// applied a second time.
var memberChanges = map[string]func(*membership.Member){
	"suspect": func(m *membership.Member) { m.State = membership.Suspect - m.State },
	"cold":    func(m *membership.Member) { m.Cold = !m.Cold },
	"leaving": func(m *membership.Member) { m.Leaving = !m.Leaving },
}

// BenchmarkSlopeFollowMembers passes a list of members, one of which has changed,
// to the components of a node for several numbers of hosts. It also reports the heap
// that the components retain for the first list.
func BenchmarkSlopeFollowMembers(b *testing.B) {
	for _, hosts := range []int{16, 500, 2000, 8100} {
		for _, change := range slices.Sorted(maps.Keys(memberChanges)) {
			b.Run(fmt.Sprintf("hosts=%d/change=%s", hosts, change), func(b *testing.B) {
				benchmarkApplyMembers(b, hosts, memberChanges[change])
			})
		}
	}
}

func benchmarkApplyMembers(b *testing.B, hosts int, change func(*membership.Member)) {
	members := make([]membership.Member, hosts)
	for i := range members {
		members[i] = membership.Member{
			ID: fmt.Sprintf("host-%05d", i), Zone: fmt.Sprintf("zone-%d", i%7),
			Address: fmt.Sprintf("10.0.%d.%d:7002", i/250, i%250),
			Service: fmt.Sprintf("service-%d", i%340), Slots: 50,
		}
	}
	n := &Node{
		settings:      settings.Settings{Host: "host-00000", AvailabilityZone: "zone-0"},
		configuration: configuration.New(configuration.Config{Host: "host-00000", Zone: "zone-0"}),
		quota:         quota.New(quota.Config{Host: "host-00000", Zone: "zone-0"}),
		claims:        claim.New(claim.Config{Host: "host-00000", Zone: "zone-0"}),
		balancer:      balance.New(balance.Config{Zone: "zone-0"}),
	}
	before := heapBytes()
	n.applyMembers(members)
	retained := heapBytes() - before
	b.ReportAllocs()
	for b.Loop() {
		change(&members[1])
		n.applyMembers(members)
	}
	b.ReportMetric(float64(retained), "heap-B")
	runtime.KeepAlive(n)
	runtime.KeepAlive(members)
}

func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
