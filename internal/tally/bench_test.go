package tally

import (
	"context"
	"fmt"
	"testing"

	"curranthold.example/curranthold/internal/quota"
)

// BenchmarkSpend measures spending a token from the local estimate with several
// numbers of accounts.
func BenchmarkSpend(b *testing.B) {
	for _, accounts := range []int{8, 10_000} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			m := New(Config{Host: "host"})
			limits := make(map[string]quota.Limit, accounts)
			for i := range accounts {
				limits[fmt.Sprintf("account-%d", i)] = quota.Limit{Rate: 1e12, Burst: 1e12}
			}
			m.SetAccounts(limits)
			b.ReportAllocs()
			for b.Loop() {
				_ = m.Spend(context.Background(), "account-3")
			}
		})
	}
}

// BenchmarkSlopeHear measures how a home handles one report with several numbers of
// reporting hosts.
func BenchmarkSlopeHear(b *testing.B) {
	for _, hosts := range []int{16, 1024, 8100} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			m := New(Config{Host: "home"})
			m.SetAccounts(map[string]quota.Limit{"account": {Rate: 1e9, Burst: 1e9}})
			names := make([]string, hosts)
			for i := range names {
				names[i] = fmt.Sprintf("host-%d", i)
			}
			total := uint64(0)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				total++
				m.handleReport(&ReportArgs{Host: names[i%hosts], Incarnation: 1, Spendings: []Spending{{Account: "account", Total: total, Unreported: 1}}})
			}
		})
	}
}
