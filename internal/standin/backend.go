package standin

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc"

	"curranthold.example/curranthold/internal/event"
	"curranthold.example/curranthold/pkg/header"
)

const (
	// apiKeyPrefix is the prefix of every API key.
	apiKeyPrefix = "ch1."
	// maxRequestBytes bounds the body of a request to a backend server.
	maxRequestBytes = 1 << 20
	// coldSlowdown is the factor by which cold start lengthens the service time.
	coldSlowdown = 2
	// jitter is the largest relative deviation of a service time from its mean.
	jitter = 0.2
)

// Backend is a stand-in for a backend server.
type Backend struct {
	config          BackendConfig
	limiter         *limiter
	faults          faultControl[BackendFaults]
	randomSource    *randomSource
	runs            recorder
	responseSwapper responseSwapper
	incarnation     string
	pad             string
	client          *http.Client

	mu           sync.Mutex
	downUntil    time.Time
	reportedCold bool

	served, ran, refused, abandoned, failedNested, crashes, keyLeaks atomic.Int64
}

// NewBackend returns a backend server. It begins in cold start if
// config.ColdSlots is positive.
func NewBackend(config BackendConfig) *Backend {
	if config.CrashOverruns == 0 {
		config.CrashOverruns = crashOverrunFactor * config.ColdSlots
	}
	b := &Backend{
		config: config,
		limiter: &limiter{
			slots:         config.Slots,
			coldSlots:     config.ColdSlots,
			coldRequests:  config.ColdRequests,
			coldTime:      config.ColdTime,
			crashOverruns: config.CrashOverruns,
		},
		randomSource: newRandomSource(config.Seed),
		runs:         recorder{w: config.Runs},
		incarnation:  newRandomID(),
		pad:          strings.Repeat("x", config.PadBytes),
		client:       &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: config.Slots + 1}},
	}
	b.faults.set(BackendFaults{ServiceTimeMs: int(config.ServiceTime / time.Millisecond)})
	b.limiter.startCold(time.Now())
	b.reportedCold = b.limiter.isCold(time.Now())
	return b
}

// SetFaults replaces all faults of the backend server.
func (b *Backend) SetFaults(f BackendFaults) {
	b.faults.set(f)
	b.applyColdFault()
}

// Stats returns the current counts.
func (b *Backend) Stats() BackendStats {
	cold := b.limiter.isCold(time.Now())
	b.limiter.mu.Lock()
	defer b.limiter.mu.Unlock()
	return BackendStats{
		Served:        b.served.Load(),
		Runs:          b.ran.Load(),
		Refused:       b.refused.Load(),
		Abandoned:     b.abandoned.Load(),
		FailedNested:  b.failedNested.Load(),
		ColdOverruns:  b.limiter.totalOverruns,
		MaxConcurrent: b.limiter.maxConcurrent,
		Crashes:       b.crashes.Load(),
		KeyLeaks:      b.keyLeaks.Load(),
		Cold:          cold,
	}
}

// Close closes the idle connections to the node.
func (b *Backend) Close() error {
	b.client.CloseIdleConnections()
	return nil
}

// Serve announces the backend server and serves requests on listener until ctx
// ends. Then it withdraws the announcement and finishes the requests in progress.
func (b *Backend) Serve(ctx context.Context, listener net.Listener) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	var serveErr error
	var group conc.WaitGroup
	group.Go(func() { serveErr = Serve(serving, listener, b.Handler()) })
	b.announce(ctx)
	stop()
	group.Wait()
	return serveErr
}

// Handler returns the HTTP handler of the backend server. The paths /control,
// /control/stats and /health are its own; all others are requests to the service.
func (b *Backend) Handler() http.Handler {
	router := newRouter()
	router.HandleMethodNotAllowed = false
	router.GET("/control", b.faults.serveGet)
	router.POST("/control", func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		b.faults.servePost(w, r, params)
		b.applyColdFault()
	})
	router.GET("/control/stats", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		writeJSON(w, http.StatusOK, b.Stats())
	})
	router.GET("/health", b.health)
	router.NotFound = http.HandlerFunc(b.serve)
	return router
}

// applyColdFault starts a cold start if the Cold fault is set, and resets the
// fault.
func (b *Backend) applyColdFault() {
	if b.faults.resetFlag(func(f *BackendFaults) *bool { return &f.Cold }) {
		b.returnToCold()
	}
}

// returnToCold starts another cold start, which the announcements do not report.
func (b *Backend) returnToCold() {
	b.limiter.startCold(time.Now())
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reportedCold = false
}

// serve handles one request that the node forwards.
func (b *Backend) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		b.refuse(w, r, "bad-request")
		return
	}
	if place := findKey(r, body); place != "" {
		b.keyLeaks.Add(1)
		eventKeyLeak.Log(event.Fields{"service": b.config.Service, "place": place})
		http.Error(w, "the request holds a caller's key", http.StatusInternalServerError)
		return
	}
	ctx, cancel, err := withDeadline(r)
	if err != nil {
		b.refuse(w, r, "bad-request")
		return
	}
	defer cancel()
	if ctx.Err() != nil {
		b.refuse(w, r, "deadline-exceeded")
		return
	}
	b.admit(ctx, w, r)
}

// findKey returns the part of a request that contains an API key, or "" if there
// is none.
func findKey(r *http.Request, body []byte) string {
	for name, values := range r.Header {
		if strings.Contains(strings.Join(values, "\n"), apiKeyPrefix) {
			return "header " + name
		}
	}
	if strings.Contains(string(body), apiKeyPrefix) {
		return "body"
	}
	if strings.Contains(r.RequestURI, apiKeyPrefix) {
		return "uri"
	}
	return ""
}

// withDeadline returns r's context, with the timeout that its deadline header sets
// if it has one.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc, error) {
	text := r.Header.Get(header.Deadline)
	if text == "" {
		ctx, cancel := context.WithCancel(r.Context())
		return ctx, cancel, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", header.Deadline, err)
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
	return ctx, cancel, nil
}

// admit applies the faults and the limiter to a request, and runs it if it is
// admitted.
func (b *Backend) admit(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	faults := b.faults.get()
	if b.randomSource.chance(faults.Refuse) {
		b.refuse(w, r, "overloaded")
		return
	}
	reset := b.randomSource.chance(faults.ResetConnections)
	if reset && b.randomSource.chance(0.5) {
		resetConnection(w)
		return
	}
	if b.awaitRecovery(ctx) {
		resetConnection(w)
		return
	}
	switch b.limiter.admit(time.Now()) {
	case overloaded:
		b.refuse(w, r, "overloaded")
	case crashing:
		b.crash()
		b.awaitRecovery(ctx)
		resetConnection(w)
	case admitted:
		b.run(ctx, w, r, reset)
	}
}

// refuse responds that the request is refused and was not run.
func (b *Backend) refuse(w http.ResponseWriter, r *http.Request, reason string) {
	b.refused.Add(1)
	w.Header().Set(header.Refused, reason)
	w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// run runs an admitted request and responds to it.
func (b *Backend) run(ctx context.Context, w http.ResponseWriter, r *http.Request, reset bool) {
	b.ran.Add(1)
	b.record(r)
	body, status := b.execute(ctx, r)
	b.limiter.release(status == http.StatusOK)
	if b.awaitRecovery(ctx) || reset {
		resetConnection(w)
		return
	}
	b.respond(ctx, w, r, body, status)
}

// record writes the record of a run before the request is executed, so that a run
// that does not complete is recorded too.
func (b *Backend) record(r *http.Request) {
	key := r.Header.Get(header.IdempotencyKey)
	if key == "" {
		key = r.Header.Get(header.Ticket)
	}
	err := b.runs.record(Run{
		RequestID: r.Header.Get(header.RequestID),
		Account:   r.Header.Get(header.Account),
		Key:       key,
		Route:     r.Method + " " + r.URL.Path,
		Backend:   b.config.Address,
		At:        time.Now(),
	})
	if err != nil {
		eventRecordFailed.Log(event.Fields{"error": err.Error()})
	}
}

// execute sleeps for the service time, makes the nested calls, and returns the
// response body and its HTTP status.
func (b *Backend) execute(ctx context.Context, r *http.Request) (Answer, int) {
	body := Answer{
		RequestID: r.Header.Get(header.RequestID),
		Account:   r.Header.Get(header.Account),
		Service:   b.config.Service,
		Nested:    []NestedAnswer{},
		Pad:       b.pad,
	}
	if !sleepContext(ctx, b.serviceTime()) {
		b.abandoned.Add(1)
		return body, http.StatusGatewayTimeout
	}
	for _, call := range b.config.Calls {
		nested := b.callNested(ctx, call, r.Header.Get(header.CallToken))
		body.Nested = append(body.Nested, nested)
		if nested.Status != http.StatusOK {
			b.failedNested.Add(1)
			return body, http.StatusBadGateway
		}
	}
	if b.randomSource.chance(b.faults.get().Fail) {
		return body, http.StatusInternalServerError
	}
	b.served.Add(1)
	return body, http.StatusOK
}

// serviceTime returns a random service time for one request.
func (b *Backend) serviceTime() time.Duration {
	mean := time.Duration(b.faults.get().ServiceTimeMs) * time.Millisecond
	if b.limiter.isCold(time.Now()) {
		mean *= coldSlowdown
	}
	factor := 1 + jitter*(2*b.randomSource.float()-1)
	return time.Duration(float64(mean) * factor)
}

// sleepContext waits for d or until ctx ends, and reports whether it waited for
// all of d.
func sleepContext(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// crash makes the process exit, or the backend server stop responding for
// config.Downtime and then start cold.
func (b *Backend) crash() {
	b.crashes.Add(1)
	eventCrashed.Log(event.Fields{"service": b.config.Service, "address": b.config.Address})
	if b.config.Downtime == 0 {
		b.config.Exit()
		return
	}
	b.mu.Lock()
	b.downUntil = time.Now().Add(b.config.Downtime)
	b.mu.Unlock()
	b.returnToCold()
}

// downtimeLeft returns the remaining downtime after a crash. It is not positive
// while the backend server is up.
func (b *Backend) downtimeLeft() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Until(b.downUntil)
}

// awaitRecovery waits until the downtime after a crash is over, or until ctx ends.
// It reports whether the backend server was down. A crash loses all requests in
// progress, so that the connection must then be reset.
func (b *Backend) awaitRecovery(ctx context.Context) bool {
	left := b.downtimeLeft()
	if left <= 0 {
		return false
	}
	sleepContext(ctx, left)
	return true
}
