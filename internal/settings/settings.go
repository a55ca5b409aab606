// Package settings reads the settings of a node from a file in JSON with comments.
// It reports all fields that can't be decoded or, if there are none, all values that
// are not valid, each with its file, line and field. A syntax error is reported alone,
// at line 1 and without a field.
package settings

import (
	"cmp"
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"time"

	"github.com/tailscale/hujson"

	"curranthold.example/curranthold/internal/admission"
)

// Settings are the settings of one node. Addresses are IP:PORT.
type Settings struct {
	// Host is the name of this host. It must not change on a restart.
	Host string `json:"host"`
	// AvailabilityZone is the zone of this host.
	AvailabilityZone string `json:"availability-zone"`
	// CallerAddress is where the node listens for calls from callers.
	CallerAddress string `json:"caller-address"`
	// BackendAddress is where the node listens for announcements and nested calls
	// of the backend server on this host.
	BackendAddress string `json:"backend-address"`
	// PeerAddress is where other nodes reach this node.
	PeerAddress string `json:"peer-address"`
	// PeerListenAddress is where the node listens for other nodes, if it differs
	// from the address that they connect to; empty means PeerAddress.
	PeerListenAddress string `json:"peer-listen-address"`
	// OperatorAddress is where the node serves the resource API and the metrics.
	OperatorAddress string `json:"operator-address"`
	// ReadyAddress is where the node answers the platform's readiness checks; empty
	// if the platform makes none.
	ReadyAddress string `json:"ready-address"`
	// Service is the service of the backend server on this host, if the settings
	// give it.
	Service string `json:"service"`
	// ServerAddress is the address of the backend server on this host, if the
	// settings give it; otherwise the backend server announces its address.
	ServerAddress string `json:"server-address"`
	// Seeds are peer addresses of other nodes, which this node contacts on startup.
	Seeds    []string `json:"seeds"`
	Platform Platform `json:"platform"`
	// FleetSecret authenticates nodes to each other: 32 bytes in hexadecimal.
	FleetSecret string     `json:"fleet-secret"`
	Operators   []Operator `json:"operators"`
	Limits      Limits     `json:"limits"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	TableAddress       string `json:"table-address"`
	ObjectStoreAddress string `json:"object-store-address"`
	// TimeoutMs bounds one request to the platform.
	TimeoutMs int `json:"timeout-ms"`
}

// Operator is one operator of the resource API.
type Operator struct {
	Name string `json:"name"`
	// TokenSHA256 is the SHA-256 of the operator's token, in hexadecimal.
	TokenSHA256 string `json:"token-sha256"`
}

// Limits are the limits and timeouts of a node.
type Limits struct {
	// RequestBytes and AnswerBytes limit the body of a request and of a response.
	RequestBytes int `json:"request-bytes"`
	AnswerBytes  int `json:"answer-bytes"`
	// AnswerHeaderBytes limits the header of a response, and LargeAnswers how many
	// bodies of responses above 64 KiB are read at once.
	AnswerHeaderBytes int `json:"answer-header-bytes"`
	LargeAnswers      int `json:"large-answers"`
	// CallsInFlight and BytesInFlight bound the number of concurrent calls from
	// callers, and the total size of their bodies.
	CallsInFlight int `json:"calls-in-flight"`
	BytesInFlight int `json:"bytes-in-flight"`
	// DefaultTimeoutMs is the timeout of calls that carry no deadline, on routes
	// without a timeout.
	DefaultTimeoutMs int `json:"default-timeout-ms"`
	// ExtraAttempts is the number of attempts beyond the first that a root call and
	// its nested calls share.
	ExtraAttempts int `json:"extra-attempts"`
	// ShutdownMs bounds a graceful shutdown.
	ShutdownMs int `json:"shutdown-ms"`
	// LeaveNoticeMs is how long a leaving node still accepts calls while callers
	// and other nodes learn that it is leaving.
	LeaveNoticeMs int `json:"leave-notice-ms"`
	// RetrySlack is how many retries all nodes together may make to each service
	// before first attempts have earned any. The nodes share half of it; the rest is
	// reserved for the nested calls of retried calls. A node without an adapter
	// applies it only when its settings are reloaded, and takes 0 for a burst of 10
	// of its own.
	RetrySlack int `json:"retry-slack"`
	// EvenLoad spreads the calls of each service that declares no cold rate over all its
	// hosts by their estimated headroom, in place of the less loaded of two hosts.
	EvenLoad bool `json:"even-load"`
	// QuotaOveragePercent is the percentage by which the users' platform tolerates
	// that a client account exceeds its rate and burst. A node with an adapter raises
	// the rates by half of it; the rest covers inexact estimates.
	QuotaOveragePercent int `json:"quota-overage-percent"`
	// ColdOveragePercent is the percentage by which the users' platform tolerates
	// that the request rate of a backend server in cold start exceeds its limit. Nodes
	// raise the limit by half of it; the rest covers late heartbeats.
	ColdOveragePercent int `json:"cold-overage-percent"`
	// RetryPercent is how many retries all nodes together may make, as a percentage
	// of the first attempts; 0 means 8. Nodes use 85 % of a value other than 0; the
	// rest is reserved for the nested calls of retried calls.
	RetryPercent int `json:"retry-percent"`
	// AnnouncementMs is how long an announcement of the backend server is valid,
	// unless it is repeated.
	AnnouncementMs int `json:"announcement-ms"`
	// MemoryBytes is the memory limit of the node: of the Go runtime, and of what
	// clients can make the node hold; 0 means none.
	MemoryBytes int `json:"memory-bytes"`
	// CanaryPercent is the largest percentage of a service's requests that a bad version
	// may get during its rollout, in addition to CanarySlack requests. 0 disables
	// rollouts.
	CanaryPercent int `json:"canary-percent"`
	CanarySlack   int `json:"canary-slack"`
	// RollbackMs is how soon after its 50th bad response a bad version must not be sent
	// requests any more.
	RollbackMs int `json:"rollback-ms"`
	// IdleMs is how long an idle connection to the backend server is kept open.
	IdleMs int `json:"idle-ms"`
	// WarmStart makes the concurrency limit of a backend server that says that it
	// isn't cold start at its slots, if its service declares no cold rate. A node
	// without an adapter ignores it.
	WarmStart bool `json:"warm-start"`
	// TreeAdmission makes entries admit root requests by the capacity of all services
	// of their call trees, as far as these declare no cold rate. A node without an
	// adapter ignores it.
	TreeAdmission bool `json:"tree-admission"`
	// PipelinedRequests is the number of requests that are read ahead on one connection
	// of a caller and run at once; 0 reads the next request when the last is answered.
	PipelinedRequests int `json:"pipelined-requests"`
	// DisabledMechanisms names mechanisms to switch off, to measure the effect of
	// each. It is meant for tests only.
	DisabledMechanisms []string `json:"disabled-mechanisms"`
}

// Mistakes lists the mistakes that were found in one file.
type Mistakes []Mistake

// Error implements error.
func (m Mistakes) Error() string {
	errs := make([]error, len(m))
	for i, mistake := range m {
		errs[i] = mistake
	}
	return errors.Join(errs...).Error()
}

// Load reads and checks the file. If the file can be read but is not valid, the error
// is of type Mistakes.
func Load(file string) (Settings, error) {
	source, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, err
	}
	return Parse(file, source)
}

// Parse decodes and checks the source. The file name is used only in error
// messages.
func Parse(file string, source []byte) (Settings, error) {
	s := Default()
	value, err := hujson.Parse(source)
	if err != nil {
		return s, Mistakes{{File: file, Line: 1, Message: err.Error()}}
	}
	d := &decoder{file: file, source: source, lines: make(map[string]int)}
	d.decode(&value, "", reflect.ValueOf(&s).Elem())
	if len(d.mistakes) == 0 {
		s.check(d)
	}
	if len(d.mistakes) > 0 {
		return s, Mistakes(d.mistakes)
	}
	return s, nil
}

// Default returns the settings with the defaults of optional fields.
func Default() Settings {
	return Settings{
		Platform: Platform{TimeoutMs: 1000},
		Limits: Limits{
			RequestBytes:      1 << 20,
			AnswerBytes:       1 << 20,
			AnswerHeaderBytes: 8 << 10,
			LargeAnswers:      3,
			CallsInFlight:     10_000,
			BytesInFlight:     32 << 20,
			DefaultTimeoutMs:  2000,
			ExtraAttempts:     3,
			ShutdownMs:        10_000,
			LeaveNoticeMs:     1000,
			AnnouncementMs:    4000,
			IdleMs:            60_000,
			CanarySlack:       50,
			RollbackMs:        5000,
		},
	}
}

// Secret returns the decoded FleetSecret.
func (s Settings) Secret() []byte {
	secret, _ := hex.DecodeString(s.FleetSecret)
	return secret
}

// PlatformTimeout bounds one request to the platform.
func (s Settings) PlatformTimeout() time.Duration { return milliseconds(s.Platform.TimeoutMs) }

// PeerBindAddress returns the address at which the node listens for messages of
// other nodes.
func (s Settings) PeerBindAddress() string { return cmp.Or(s.PeerListenAddress, s.PeerAddress) }

// DefaultTimeout is the timeout of calls that carry no deadline, on routes without
// a timeout.
func (s Settings) DefaultTimeout() time.Duration { return milliseconds(s.Limits.DefaultTimeoutMs) }

// LeaveNoticePeriod is how long a leaving node still accepts calls.
func (s Settings) LeaveNoticePeriod() time.Duration { return milliseconds(s.Limits.LeaveNoticeMs) }

// IdleTimeout is how long an idle connection to the backend server is kept open.
func (s Settings) IdleTimeout() time.Duration { return milliseconds(s.Limits.IdleMs) }

// AnnouncementTTL is how long an announcement is valid unless it is repeated.
func (s Settings) AnnouncementTTL() time.Duration { return milliseconds(s.Limits.AnnouncementMs) }

// RollbackTime is how soon after its 50th bad response a bad version must not be sent
// requests any more.
func (s Settings) RollbackTime() time.Duration { return milliseconds(s.Limits.RollbackMs) }

// ShutdownTimeout bounds a graceful shutdown.
func (s Settings) ShutdownTimeout() time.Duration { return milliseconds(s.Limits.ShutdownMs) }

// The mechanisms that can be switched off in addition to those of package admission.
const (
	// EarlyRefusal refuses a call at the node that received it if every host would
	// refuse it.
	EarlyRefusal = "early-refusal"
	// RetryBudget limits the retries of a node to a percentage of its first attempts.
	RetryBudget = "retry-budget"
	// Throttle refuses a call at the node that received it if its nested calls would
	// be refused.
	Throttle = "throttle"
	// Hedging sends a nested call to a second host as well if the first host takes
	// far longer than usual to answer.
	Hedging = "hedging"
)

// Disabled reports whether the mechanism is switched off.
func (l Limits) Disabled(mechanism string) bool {
	return slices.Contains(l.DisabledMechanisms, mechanism)
}

// DisabledAdmission returns the mechanisms of package admission that are
// switched off.
func (l Limits) DisabledAdmission() admission.Mechanism {
	var disabled admission.Mechanism
	for _, name := range l.DisabledMechanisms {
		m, _ := admission.ParseMechanism(name)
		disabled |= m
	}
	return disabled
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

const (
	secretBytes     = 32
	maxMessageBytes = 4 << 20
	minHeaderBytes  = 1 << 10
	maxTimeoutMs    = 600_000

	maxCallsInFlight = 1_000_000
	// maxPipelinedRequests keeps the search for the next response of a connection short.
	maxPipelinedRequests = 1000
	maxBytesInFlight     = 4 << 30
)

// check reports the values that are not valid. All fields must have been decoded
// without a mistake.
func (s Settings) check(d *decoder) {
	report := func(field, format string, args ...any) {
		d.mistakes = append(d.mistakes, Mistake{
			File: d.file, Line: d.lines[field], Field: field, Message: fmt.Sprintf(format, args...),
		})
	}
	s.checkNames(report)
	s.checkAddresses(report)
	checkHex(report, "fleet-secret", s.FleetSecret)
	for i, operator := range s.Operators {
		checkHex(report, fmt.Sprintf("operators[%d].token-sha256", i), operator.TokenSHA256)
	}
	s.checkLimits(report)
	checkMechanisms(report, s.Limits.DisabledMechanisms)
}

// checkNames reports required names that are missing.
func (s Settings) checkNames(report reportFunc) {
	required := map[string]string{"host": s.Host, "availability-zone": s.AvailabilityZone}
	for _, field := range []string{"host", "availability-zone"} {
		if required[field] == "" {
			report(field, "is required")
		}
	}
}

func (s Settings) checkLimits(report reportFunc) {
	checkRange(report, "platform.timeout-ms", s.Platform.TimeoutMs, 1, maxTimeoutMs)
	checkRange(report, "limits.request-bytes", s.Limits.RequestBytes, 1, maxMessageBytes)
	checkRange(report, "limits.answer-bytes", s.Limits.AnswerBytes, 1, maxMessageBytes)
	checkRange(report, "limits.answer-header-bytes", s.Limits.AnswerHeaderBytes, minHeaderBytes, maxMessageBytes)
	checkRange(report, "limits.large-answers", s.Limits.LargeAnswers, 1, maxCallsInFlight)
	checkRange(report, "limits.calls-in-flight", s.Limits.CallsInFlight, 1, maxCallsInFlight)
	checkRange(report, "limits.bytes-in-flight", s.Limits.BytesInFlight, s.Limits.RequestBytes, maxBytesInFlight)
	checkRange(report, "limits.default-timeout-ms", s.Limits.DefaultTimeoutMs, 1, maxTimeoutMs)
	checkRange(report, "limits.extra-attempts", s.Limits.ExtraAttempts, 0, 100)
	checkRange(report, "limits.shutdown-ms", s.Limits.ShutdownMs, 1, maxTimeoutMs)
	checkRange(report, "limits.leave-notice-ms", s.Limits.LeaveNoticeMs, 0, maxTimeoutMs)
	checkRange(report, "limits.idle-ms", s.Limits.IdleMs, 1, maxTimeoutMs)
	checkRange(report, "limits.retry-slack", s.Limits.RetrySlack, 0, maxCallsInFlight)
	checkRange(report, "limits.quota-overage-percent", s.Limits.QuotaOveragePercent, 0, 100)
	checkRange(report, "limits.cold-overage-percent", s.Limits.ColdOveragePercent, 0, 1000)
	checkRange(report, "limits.retry-percent", s.Limits.RetryPercent, 0, 100)
	checkRange(report, "limits.canary-percent", s.Limits.CanaryPercent, 0, 100)
	checkRange(report, "limits.canary-slack", s.Limits.CanarySlack, 0, maxCallsInFlight)
	checkRange(report, "limits.rollback-ms", s.Limits.RollbackMs, 1, maxTimeoutMs)
	checkRange(report, "limits.announcement-ms", s.Limits.AnnouncementMs, 1, maxTimeoutMs)
	checkRange(report, "limits.pipelined-requests", s.Limits.PipelinedRequests, 0, maxPipelinedRequests)
	checkRange(report, "limits.memory-bytes", s.Limits.MemoryBytes, 0, math.MaxInt)
}

// Validate checks settings that were not parsed by this package. It returns missing
// names, invalid addresses and values that are out of range, as Mistakes.
func (s Settings) Validate() error {
	d := &decoder{lines: make(map[string]int)}
	report := func(field, format string, args ...any) {
		d.mistakes = append(d.mistakes, Mistake{Field: field, Message: fmt.Sprintf(format, args...)})
	}
	s.checkNames(report)
	s.checkAddresses(report)
	s.checkLimits(report)
	if len(d.mistakes) == 0 {
		return nil
	}
	return Mistakes(d.mistakes)
}

type reportFunc func(field, format string, args ...any)

func (s Settings) checkAddresses(report reportFunc) {
	addresses := []struct{ field, value string }{
		{"caller-address", s.CallerAddress},
		{"backend-address", s.BackendAddress},
		{"peer-address", s.PeerAddress},
		{"peer-listen-address", s.PeerBindAddress()},
		{"operator-address", s.OperatorAddress},
		{"platform.table-address", s.Platform.TableAddress},
		{"platform.object-store-address", s.Platform.ObjectStoreAddress},
	}
	for i, seed := range s.Seeds {
		addresses = append(addresses, struct{ field, value string }{fmt.Sprintf("seeds[%d]", i), seed})
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			report(a.field, "must be an IP address with a port, as in 10.0.0.7:7000")
		}
	}
}

func checkHex(report reportFunc, field, value string) {
	decoded, err := hex.DecodeString(value)
	if err != nil || len(decoded) != secretBytes {
		report(field, "must be %d bytes in hexadecimal", secretBytes)
	}
}

func checkMechanisms(report reportFunc, names []string) {
	for i, name := range names {
		_, known := admission.ParseMechanism(name)
		if !known && name != EarlyRefusal && name != RetryBudget && name != Throttle && name != Hedging {
			report(fmt.Sprintf("limits.disabled-mechanisms[%d]", i), "names no mechanism")
		}
	}
}

func checkRange(report reportFunc, field string, value, low, high int) {
	if value < low || value > high {
		report(field, "must be between %d and %d", low, high)
	}
}
