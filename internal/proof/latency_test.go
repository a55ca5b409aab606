package proof

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/pkg/header"
	"curranthold.example/curranthold/pkg/object"
)

const (
	latencyCallers = 8
	latencyPause   = 4 * time.Millisecond
)

// BenchmarkAddedLatency alternates between calls to a backend server directly and
// calls through two nodes, and reports the latency that the nodes add.
func BenchmarkAddedLatency(b *testing.B) {
	f := newFleet(b, []hostSpec{
		{"entry", "a", "other", nil},
		{"owner", "a", "echo", []string{"-slots", "64", "-service-time-ms", "2"}},
	},
		objectJSON(object.KindAvailabilityZone, "a", `{"in-service": true}`),
		objectJSON(object.KindService, "echo", `{}`),
		objectJSON(object.KindService, "other", `{}`),
		objectJSON(object.KindClientAccount, "bern", `{"rate": 100000, "burst": 10000}`),
		objectJSON(object.KindRoute, "echo", `{"path-prefix": "/echo", "service": "echo", "urgency": "normal"}`),
	)
	measureLatency(b, f, f.createKey("bern", "bern-1"))
}

func measureLatency(b *testing.B, f *fleet, key string) {
	direct := "http://" + f.hosts["owner"].serverAddress() + "/echo"
	through := "http://" + f.hosts["entry"].callerAddress() + "/echo"
	f.await(awaitTimeout, "a served call", func() bool { return statusOf(b, http.DefaultClient, through, key) == http.StatusOK })
	callMany(b, through, key, 300) // opens connections and ends the ramp of the cold start
	callMany(b, direct, "", 300)
	directTimes, throughTimes := newHistogram(), newHistogram()
	for b.Loop() {
		directTimes.Merge(callMany(b, direct, "", 250))
		throughTimes.Merge(callMany(b, through, key, 250))
	}
	for _, percentile := range []float64{50, 99} {
		name := map[float64]string{50: "p50", 99: "p99"}[percentile]
		d, n := directTimes.ValueAtPercentile(percentile), throughTimes.ValueAtPercentile(percentile)
		b.ReportMetric(float64(d)/1000, "direct-"+name+"-ms")
		b.ReportMetric(float64(n-d)/1000, "added-"+name+"-ms")
	}
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 10_000_000, 3) }

// callMany makes n calls from each of several concurrent callers and returns their
// latencies in microseconds.
func callMany(t testing.TB, url, key string, n int) *hdrhistogram.Histogram {
	transport := &http.Transport{MaxIdleConnsPerHost: latencyCallers}
	defer transport.CloseIdleConnections()
	httpClient := &http.Client{Transport: transport}
	times := newHistogram()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range latencyCallers {
		wg.Go(func() {
			for range n {
				start := time.Now()
				if !callOnce(t, httpClient, url, key) {
					return
				}
				mu.Lock()
				_ = times.RecordValue(time.Since(start).Microseconds())
				mu.Unlock()
				time.Sleep(latencyPause)
			}
		})
	}
	wg.Wait()
	return times
}

func callOnce(t testing.TB, httpClient *http.Client, url, key string) bool {
	return qt.Check(t, statusOf(t, httpClient, url, key), qt.Equals, http.StatusOK)
}

// statusOf makes one call and returns the HTTP status of the response. If there is no
// response, it fails the test and returns 0.
func statusOf(t testing.TB, httpClient *http.Client, url, key string) int {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
	if !qt.Check(t, err, qt.IsNil) {
		return 0
	}
	if key != "" {
		request.Header.Set(header.Key, key)
	}
	response, err := httpClient.Do(request)
	if !qt.Check(t, err, qt.IsNil) {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}
