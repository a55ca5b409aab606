package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc"

	"curranthold.example/curranthold/internal/platform"
)

// maxBodyBytes bounds the body of a request to the platform.
const maxBodyBytes = 64 << 20

// PlatformFaults are the faults that a platform can inject. They can be changed
// while it runs. The zero value has no faults.
type PlatformFaults struct {
	// Outage makes the platform refuse all requests as unavailable.
	Outage bool `json:"outage"`
	// DelayMs is the time before a request takes effect, in milliseconds. The
	// request takes effect even if the client has disconnected by then.
	DelayMs int `json:"delay-ms"`
	// LoseResponses is the fraction of requests that take effect, but whose
	// connection is closed without a response.
	LoseResponses float64 `json:"lose-answers"`
	// LateEffectsMs is the time from closing the connection of a request with a
	// lost response until the request takes effect, in milliseconds.
	LateEffectsMs int `json:"late-effects-ms"`
}

// PlatformStats holds the counts of a platform.
type PlatformStats struct {
	Reads         int64 `json:"reads"`
	Commits       int64 `json:"commits"`
	Conflicts     int64 `json:"conflicts"`
	Puts          int64 `json:"puts"`
	Refused       int64 `json:"refused"`
	LostResponses int64 `json:"lost-answers"`
}

// Platform is a stand-in for the platform: an in-memory table service and object
// store with one HTTP handler.
type Platform struct {
	table        *table
	faults       faultControl[PlatformFaults]
	randomSource *randomSource

	// late holds the requests with a lost response that have not taken effect yet.
	// lateMu is held while a request is added, so that none is added while Close
	// waits.
	lateMu sync.Mutex
	late   conc.WaitGroup

	mu      sync.Mutex
	objects map[string][]byte

	reads, commits, conflicts, puts, refused, lost atomic.Int64
}

// NewPlatform returns an empty platform. The seed determines which responses are
// lost.
func NewPlatform(seed uint64) *Platform {
	return &Platform{table: newTable(), randomSource: newRandomSource(seed), objects: map[string][]byte{}}
}

// SetFaults replaces all faults of the platform.
func (p *Platform) SetFaults(f PlatformFaults) { p.faults.set(f) }

// Stats returns the current counts.
func (p *Platform) Stats() PlatformStats {
	return PlatformStats{
		Reads:         p.reads.Load(),
		Commits:       p.commits.Load(),
		Conflicts:     p.conflicts.Load(),
		Puts:          p.puts.Load(),
		Refused:       p.refused.Load(),
		LostResponses: p.lost.Load(),
	}
}

// Close waits until all requests with a lost response have taken effect.
func (p *Platform) Close() error {
	p.lateMu.Lock()
	defer p.lateMu.Unlock()
	p.late.Wait()
	return nil
}

// Handler returns the platform's HTTP handler.
func (p *Platform) Handler() http.Handler {
	router := newRouter()
	router.POST(platform.PathGet, p.withFaults(p.get))
	router.POST(platform.PathList, p.withFaults(p.list))
	router.POST(platform.PathCommit, p.withFaults(p.commit))
	router.PUT(platform.PathObjects+"*name", p.withFaults(p.put))
	router.GET(platform.PathObjects+"*name", p.withFaults(p.object))
	router.GET("/control", p.faults.serveGet)
	router.POST("/control", p.faults.servePost)
	router.GET("/control/stats", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		writeJSON(w, http.StatusOK, p.Stats())
	})
	return router
}

// operation is a request to the table service or the object store, with its body
// read completely.
type operation struct {
	body []byte
	name string
}

// operationResponse is the response to an operation, before it is written.
type operationResponse struct {
	status  int
	message any
	// raw is the response body; if it is nil, message is written as JSON.
	raw []byte
}

// withFaults returns a handler that runs serve with the current faults applied.
func (p *Platform) withFaults(serve func(operation) operationResponse) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			writeJSON(w, http.StatusBadRequest, platform.Refusal{Code: platform.CodeRefused, Message: err.Error()})
			return
		}
		faults := p.faults.get()
		if faults.Outage {
			p.refused.Add(1)
			writeJSON(w, http.StatusServiceUnavailable, platform.Refusal{Code: platform.CodeUnavailable, Message: "outage"})
			return
		}
		op := operation{body: body, name: strings.TrimPrefix(params.ByName("name"), "/")}
		time.Sleep(time.Duration(faults.DelayMs) * time.Millisecond)
		if p.randomSource.chance(faults.LoseResponses) {
			p.lost.Add(1)
			p.applyWithoutResponse(op, serve, time.Duration(faults.LateEffectsMs)*time.Millisecond)
			panic(http.ErrAbortHandler)
		}
		writeOperationResponse(w, serve(op))
	}
}

// applyWithoutResponse runs serve for an operation whose response is lost, after the
// delay. It runs serve in the background if the delay is positive.
func (p *Platform) applyWithoutResponse(op operation, serve func(operation) operationResponse, delay time.Duration) {
	if delay <= 0 {
		serve(op)
		return
	}
	p.lateMu.Lock()
	defer p.lateMu.Unlock()
	p.late.Go(func() {
		time.Sleep(delay)
		serve(op)
	})
}

func (p *Platform) get(op operation) operationResponse {
	var request platform.GetRequest
	if err := json.Unmarshal(op.body, &request); err != nil {
		return malformed(err)
	}
	p.reads.Add(1)
	return operationResponse{status: http.StatusOK, message: platform.Rows{Rows: p.table.get(request.Keys)}}
}

func (p *Platform) list(op operation) operationResponse {
	var request platform.ListRequest
	if err := json.Unmarshal(op.body, &request); err != nil {
		return malformed(err)
	}
	p.reads.Add(1)
	return operationResponse{status: http.StatusOK, message: p.table.list(request)}
}

func (p *Platform) commit(op operation) operationResponse {
	var tx platform.Transaction
	if err := json.Unmarshal(op.body, &tx); err != nil {
		return malformed(err)
	}
	if !p.table.commit(tx) {
		p.conflicts.Add(1)
		return operationResponse{status: http.StatusConflict, message: platform.Refusal{Code: platform.CodeConflict}}
	}
	p.commits.Add(1)
	return operationResponse{status: http.StatusOK, message: struct{}{}}
}

func (p *Platform) put(op operation) operationResponse {
	p.mu.Lock()
	p.objects[op.name] = op.body
	p.mu.Unlock()
	p.puts.Add(1)
	return operationResponse{status: http.StatusOK, message: struct{}{}}
}

func (p *Platform) object(op operation) operationResponse {
	p.mu.Lock()
	data, ok := p.objects[op.name]
	p.mu.Unlock()
	p.reads.Add(1)
	if !ok {
		return operationResponse{status: http.StatusNotFound, message: platform.Refusal{Code: platform.CodeNotFound}}
	}
	return operationResponse{status: http.StatusOK, raw: data}
}

func malformed(err error) operationResponse {
	return operationResponse{status: http.StatusBadRequest, message: platform.Refusal{Code: platform.CodeRefused, Message: err.Error()}}
}

func writeOperationResponse(w http.ResponseWriter, r operationResponse) {
	if r.raw == nil {
		writeJSON(w, r.status, r.message)
		return
	}
	w.WriteHeader(r.status)
	_, _ = w.Write(r.raw)
}
