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

// drainCallers is the number of callers with a keep-alive connection to the node that
// shuts down.
const drainCallers = 40

// TestKeptConnectionsDrain terminates a node whose callers use keep-alive connections
// and send calls without a pause until the node refuses one because it shuts down.
// No call may end with a broken connection.
func TestKeptConnectionsDrain(t *testing.T) {
	t.Parallel()
	f := newFleet(t, []hostSpec{
		{"echo-1", "a", "echo", []string{"-slots", "64", "-service-time-ms", "2"}},
		{"echo-2", "a", "echo", []string{"-slots", "64", "-service-time-ms", "2"}},
	},
		objectJSON(object.KindAvailabilityZone, "a", `{"in-service": true}`),
		objectJSON(object.KindService, "echo", `{}`),
		objectJSON(object.KindClientAccount, "bern", `{"rate": 100000, "burst": 10000}`),
		objectJSON(object.KindRoute, "echo", `{"path-prefix": "/echo", "service": "echo", "urgency": "normal", "non-repeatable": true}`),
	)
	key := f.createKey("bern", "bern-1")
	leaving := f.hosts["echo-1"]
	url := "http://" + leaving.callerAddress() + "/echo"
	f.await(awaitTimeout, "a served call", func() bool { return statusOf(t, http.DefaultClient, url, key) == http.StatusOK })
	var responses, broken atomic.Int64
	var wg sync.WaitGroup
	for range drainCallers {
		wg.Go(func() {
			for postOnce(url, key, &responses, &broken) {
			}
		})
	}
	time.Sleep(time.Second)
	qt.Check(t, leaving.node.Terminate(), qt.IsNil)
	wg.Wait()
	t.Logf("%d calls got a response, %d ended with a broken connection", responses.Load(), broken.Load())
	qt.Check(t, broken.Load(), qt.Equals, int64(0))
}

// postOnce makes one call, with a body that net/http cannot rewind, so that net/http
// does not retry the call. It returns true if the status is 200 or the connection
// breaks. It returns false for any other status, as from a node that shuts down, and
// if the connection is refused because the node has closed its listener.
func postOnce(url, key string, responses, broken *atomic.Int64) bool {
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
		broken.Add(1)
		return true
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if err != nil {
		broken.Add(1)
		return true
	}
	responses.Add(1)
	return response.StatusCode == http.StatusOK
}
