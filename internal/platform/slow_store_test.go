package platform_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/platform"
)

// TestSlowStore guards against a write that fails before its timeout because the store does not read it for some seconds.
func TestSlowStore(t *testing.T) {
	const size = 8 << 20
	received := make(chan int, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(3 * time.Second)
		body, _ := io.ReadAll(r.Body)
		received <- len(body)
		w.WriteHeader(http.StatusOK)
	}))
	defer server.Close()
	client := platform.New(platform.Config{StoreAddress: server.Listener.Addr().String(), Timeout: 10 * time.Second})
	defer func() { qt.Check(t, client.Close(), qt.IsNil) }()
	qt.Check(t, client.Objects().Put(context.Background(), "name", make([]byte, size)), qt.IsNil)
	qt.Check(t, <-received, qt.Equals, size)
}
