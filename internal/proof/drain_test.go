package proof

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/pkg/header"
	"curranthold.example/curranthold/pkg/object"
)

// drainCallers is how many callers hold a connection to the node that leaves.
const drainCallers = 40

// TestKeptConnectionsDrain ends a node whose callers hold connections and call
// without a pause until they are told that it leaves. No call may be cut off.
func TestKeptConnectionsDrain(t *testing.T) {
	t.Parallel()
	f := newFleet(t, []hostPlan{
		{"echo-1", "a", "echo", []string{"-slots", "64", "-service-time-ms", "2"}},
		{"echo-2", "a", "echo", []string{"-slots", "64", "-service-time-ms", "2"}},
	},
		declare(object.KindAvailabilityZone, "a", `{"in-service": true}`),
		declare(object.KindService, "echo", `{}`),
		declare(object.KindClientAccount, "bern", `{"rate": 100000, "burst": 10000}`),
		declare(object.KindRoute, "echo", `{"path-prefix": "/echo", "service": "echo", "urgency": "normal", "non-repeatable": true}`),
	)
	key := f.createKey("bern", "bern-1")
	leaving := f.hosts["echo-1"]
	url := "http://" + leaving.caller() + "/echo"
	f.await(eventually, "a first answer", func() bool { return statusOf(t, http.DefaultClient, url, key) == http.StatusOK })
	var answered, cut atomic.Int64
	var wg sync.WaitGroup
	for range drainCallers {
		wg.Go(func() {
			for postOnce(url, key, &answered, &cut) {
			}
		})
	}
	time.Sleep(time.Second)
	qt.Check(t, leaving.node.Terminate(), qt.IsNil)
	wg.Wait()
	t.Logf("%d calls answered, %d cut off", answered.Load(), cut.Load())
	qt.Check(t, cut.Load(), qt.Equals, int64(0))
}

// postOnce makes a call that net/http does not repeat by itself. It returns false
// once the node says that it leaves, or nothing listens any longer.
func postOnce(url, key string, answered, cut *atomic.Int64) bool {
	request, err := http.NewRequest(http.MethodPost, url, struct{ io.Reader }{strings.NewReader("x")})
	if err != nil {
		return false
	}
	request.Header.Set(header.Key, key)
	response, err := http.DefaultClient.Do(request)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return false
	}
	if err != nil {
		cut.Add(1)
		return true
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if err != nil {
		cut.Add(1)
		return true
	}
	answered.Add(1)
	return response.StatusCode == http.StatusOK
}
