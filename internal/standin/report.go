package standin

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the largest latency that a histogram can record.
	maxLatency = 5 * time.Minute
	// latencyDigits is the number of significant decimal digits of a histogram.
	latencyDigits = 3
)

// Report holds the outcomes of the calls of a run.
type Report struct {
	Groups []GroupReport `json:"groups"`
}

// GroupReport holds the outcomes of the calls of one client account with one urgency.
// With Stream.Copies, each copy counts as a call. Latencies are in milliseconds, of
// served calls only, and begin at the scheduled start of a call.
type GroupReport struct {
	Account  string `json:"client-account"`
	Urgency  string `json:"urgency"`
	Sent     int    `json:"sent"`
	Attempts int    `json:"attempts"`
	Served   int    `json:"served"`
	// Late counts the served calls that took longer than their deadline.
	Late int `json:"late"`
	// Misdirected counts the served calls whose response names another request or
	// client account.
	Misdirected int `json:"misdirected"`
	// Unsent counts the calls that were not sent because too many were in
	// progress.
	Unsent  int            `json:"unsent"`
	Refused []RefusalCount `json:"refused"`
	P50Ms   float64        `json:"p50-ms"`
	P99Ms   float64        `json:"p99-ms"`
	MaxMs   float64        `json:"max-ms"`
}

// RefusalCount is the number of failed calls whose last attempt ended with this
// code and verdict.
type RefusalCount struct {
	Code    string `json:"code"`
	Verdict string `json:"verdict"`
	Count   int    `json:"count"`
}

// runStats holds the counts of a run.
type runStats struct {
	mu     sync.Mutex
	groups map[groupKey]*group
}

type groupKey struct {
	account, urgency string
}

// group holds the counts of the calls of one client account with one urgency.
type group struct {
	mu      sync.Mutex
	counts  GroupReport
	refused map[RefusalCount]int
	latency *hdrhistogram.Histogram
}

// group returns the group for the stream's calls, and creates it if necessary.
func (r *runStats) group(s Stream) *group {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.groups == nil {
		r.groups = map[groupKey]*group{}
	}
	key := groupKey{account: s.Account, urgency: s.Urgency}
	g, ok := r.groups[key]
	if !ok {
		g = &group{
			counts:  GroupReport{Account: s.Account, Urgency: s.Urgency},
			refused: map[RefusalCount]int{},
			latency: hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits),
		}
		r.groups[key] = g
	}
	return g
}

func (g *group) countUnsent() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.counts.Unsent++
}

// countCall counts a call by the record of its last attempt. The latency is that
// of the call with all its attempts.
func (g *group) countCall(s Stream, last CallRecord, attempts int, latency time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.counts.Sent++
	g.counts.Attempts += attempts
	if last.Status != http.StatusOK {
		g.refused[RefusalCount{Code: last.Code, Verdict: last.Verdict}]++
		return
	}
	g.counts.Served++
	if s.DeadlineMs > 0 && latency > s.deadline() {
		g.counts.Late++
	}
	otherAccount := s.Key != "" && last.AnswerAccount != s.Account
	if last.AnswerFor != last.RequestID || otherAccount {
		g.counts.Misdirected++
	}
	_ = g.latency.RecordValue(min(latency, maxLatency).Microseconds())
}

// report returns the counts of all groups, sorted by account and urgency.
func (r *runStats) report() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := Report{Groups: []GroupReport{}}
	for _, g := range r.groups {
		report.Groups = append(report.Groups, g.report())
	}
	slices.SortFunc(report.Groups, func(a, b GroupReport) int {
		return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Urgency, b.Urgency))
	})
	return report
}

func (g *group) report() GroupReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	report := g.counts
	report.Refused = []RefusalCount{}
	for refusal, count := range g.refused {
		refusal.Count = count
		report.Refused = append(report.Refused, refusal)
	}
	slices.SortFunc(report.Refused, func(a, b RefusalCount) int {
		return cmp.Or(cmp.Compare(a.Code, b.Code), cmp.Compare(a.Verdict, b.Verdict))
	})
	report.P50Ms = toMs(g.latency.ValueAtQuantile(50))
	report.P99Ms = toMs(g.latency.ValueAtQuantile(99))
	report.MaxMs = toMs(g.latency.Max())
	return report
}

// toMs converts microseconds to milliseconds.
func toMs(us int64) float64 { return float64(us) / 1000 }

// WriteTable writes the report as human-readable tables.
func (r Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(table, format, args...) }
	line("CLIENT ACCOUNT\tURGENCY\tSENT\tATTEMPTS\tSERVED\tLATE\tREFUSED\tUNSENT\tMISDIRECTED\tP50 MS\tP99 MS\tMAX MS\n")
	for _, g := range r.Groups {
		line("%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\n", g.Account, g.Urgency, g.Sent, g.Attempts,
			g.Served, g.Late, g.Sent-g.Served, g.Unsent, g.Misdirected, g.P50Ms, g.P99Ms, g.MaxMs)
	}
	line("\nREFUSED\tURGENCY\tCODE\tVERDICT\tCALLS\n")
	for _, g := range r.Groups {
		for _, refusal := range g.Refused {
			line("%s\t%s\t%s\t%s\t%d\n", g.Account, g.Urgency, cmp.Or(refusal.Code, "-"),
				cmp.Or(refusal.Verdict, "-"), refusal.Count)
		}
	}
	return table.Flush()
}
