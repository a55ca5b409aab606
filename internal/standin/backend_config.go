package standin

import (
	"io"
	"time"
)

// crashOverrunFactor is the default of CrashOverruns as a multiple of ColdSlots.
const crashOverrunFactor = 10

// BackendConfig configures a backend server.
type BackendConfig struct {
	Service string
	// Version is the version that it announces.
	Version string
	// Address is the host and port in its records and announcements.
	Address string
	// Node is the host and port at which the node accepts its announcements and
	// nested calls. If it is empty, the backend server does not announce itself,
	// and its nested calls fail.
	Node        string
	Slots       int
	Connections int
	ServiceTime time.Duration
	// Seed seeds the random choices: the jitter of service times, and which
	// requests are affected by faults.
	Seed uint64
	// ColdSlots is the number of slots during cold start; 0 means no cold start.
	// Cold start ends after ColdRequests successes or ColdTime, whichever comes
	// first.
	ColdSlots    int
	ColdRequests int
	ColdTime     time.Duration
	// CrashOverruns is the number of overruns within a second that makes the
	// backend server crash; 0 means 10 times ColdSlots. An overrun is a request
	// that arrives during cold start while all cold slots are in use.
	CrashOverruns int
	// Downtime is the downtime after a crash, during which no request gets a
	// response. If it is 0, a crash calls Exit instead, which ends the process.
	Downtime time.Duration
	Exit     func()
	// Calls are the nested calls for each request, made in order through the
	// node.
	Calls []NestedCall
	// PadBytes is the length of the padding in each response body.
	PadBytes int
	// Runs receives a JSON line for each request that is run, as a [Run].
	Runs io.Writer
}

// BackendFaults are the faults that a backend server can inject. They can be
// changed while it runs.
type BackendFaults struct {
	// ServiceTimeMs is the mean service time, in milliseconds.
	ServiceTimeMs int `json:"service-time-ms"`
	// Cold starts another cold start, without announcing it. It is a one-time
	// trigger, and always reads as false.
	Cold bool `json:"cold"`
	// Refuse is the fraction of requests that are refused as overloaded.
	Refuse float64 `json:"refuse"`
	// Fail is the fraction of requests that run and get a response with status 500.
	Fail float64 `json:"fail"`
	// ResetConnections is the fraction of requests whose connection is reset in
	// place of a response, half of them before the request runs and half after.
	ResetConnections float64 `json:"reset-connections"`
	// ResponseDelayMs is the delay of each response after its request has run, in
	// milliseconds.
	ResponseDelayMs int `json:"late-ms"`
	// SwapResponses swaps the responses of pairs of concurrent requests.
	SwapResponses bool `json:"crossed"`
	// Truncate is the fraction of responses whose connection is closed after
	// half of the body.
	Truncate float64 `json:"truncate"`
	// FalselyHealthy makes GET /health always report that the backend server is
	// healthy. GET /health and the announcements always report that it is not in
	// cold start.
	FalselyHealthy bool `json:"lie-healthy"`
}

// BackendStats holds the counts of a backend server.
type BackendStats struct {
	Served  int64 `json:"served"`
	Runs    int64 `json:"runs"`
	Refused int64 `json:"refused"`
	// Abandoned counts the requests whose client disconnected or whose deadline
	// passed while they ran.
	Abandoned int64 `json:"abandoned"`
	// FailedNested counts the requests that ran and had a failed nested call.
	FailedNested int64 `json:"failed-nested"`
	// ColdOverruns counts the overruns; see [BackendConfig.CrashOverruns].
	ColdOverruns  int   `json:"cold-overruns"`
	MaxConcurrent int   `json:"max-concurrent"`
	Crashes       int64 `json:"falls"`
	// KeyLeaks counts the requests that contained an API key.
	KeyLeaks int64 `json:"key-leaks"`
	Cold     bool  `json:"cold"`
}

// Answer is the response body of a backend server.
type Answer struct {
	RequestID string         `json:"request-id"`
	Account   string         `json:"client-account"`
	Service   string         `json:"service"`
	Nested    []NestedAnswer `json:"nested"`
	Pad       string         `json:"pad,omitempty"`
}
