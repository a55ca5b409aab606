// Package call defines the messages that entries and owners exchange.
//
// An entry receives a call and chooses a host for it. The owner on that host admits
// the call and passes it to the backend server.
package call

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"curranthold.example/curranthold/internal/admission"
	"curranthold.example/curranthold/pkg/object"
	"curranthold.example/curranthold/pkg/verdict"
)

// Request is a call as an entry sends it to an owner. It never contains the
// caller's key.
type Request struct {
	// ID identifies this attempt.
	ID string
	// RequestID identifies the caller's request and is the same for all its
	// attempts.
	RequestID string
	Service   string
	Method    string
	// Target is the request target of the HTTP request line: path and query.
	Target string
	// Host is the value of the Host header.
	Host   string
	Header http.Header
	Body   []byte

	Account string
	// KeyName is the name of the client key that the root request presented.
	KeyName string
	// Weight is the client account's weight in fair queuing; it equals the
	// account's rate.
	Weight float64
	Route  string
	// CallerService is the service that the entry's host serves, empty if it is
	// not configured.
	CallerService string
	// IdempotencyKey is the caller's idempotency key or ticket, empty if the
	// caller sent neither.
	IdempotencyKey string
	Urgency        object.Urgency
	// Depth is the nesting level: 0 for a root request, and one more than the
	// parent's for a nested call.
	Depth int
	// Progress is the number of nested calls already served for this call's
	// ancestors, as far as the sending host knows.
	Progress int
	// Remaining is the time until the deadline, measured when the message is sent.
	Remaining time.Duration
	// Patience is how long the call may wait for admission; 0 means until its
	// deadline.
	Patience time.Duration
	// ExtraAttempts is the part of the root request's attempt budget that the
	// nested calls of this call may use.
	ExtraAttempts int
	NonRepeatable bool
	// Repeated is set on an attempt if an earlier attempt may have reached a
	// backend server, and on all calls nested in such an attempt. The first
	// attempts of those nested calls are counted as retries and earn none.
	Repeated bool
	// Candidate is set if the entry knows that the host's backend server has a version
	// that is not in force. Such a host refuses other calls, so that entries that don't
	// know of the version, or of rollouts at all, send it no traffic.
	Candidate bool
	// AdmitProbability is the probability with which the root request was admitted;
	// 0 means 1. Nested calls inherit it.
	AdmitProbability float64
	// DemandCounted is set if an owner of the service has refused an earlier attempt
	// because of overload. It has counted the call as demand.
	DemandCounted bool
}

// Answer is the owner's reply to an entry: either the backend server's response or
// an error with a verdict.
type Answer struct {
	// ID equals the ID of the request, so that the entry detects an answer to
	// another request.
	ID     string
	Status int
	Header http.Header
	Body   []byte
	// Checksum is the xxhash of Body, computed by the owner.
	Checksum uint64
	Err      *verdict.Error
	// Offered reports whether the request may have reached the backend server.
	Offered bool
	// Load is the load at the owner when it sent the answer.
	Load admission.Load
	// NonRepeatable is set if a non-repeatable nested call without an idempotency
	// key or ticket has begun. If Err is set too, Err.Exhausted is set: the call must
	// not be retried.
	NonRepeatable bool
	// ExtraAttempts is the unused part of the request's ExtraAttempts.
	ExtraAttempts int
	// RefusedBeneath is set if the backend server responded with a server error and
	// one of the nested calls was refused because of overload.
	RefusedBeneath bool
	// RefusedByLevel is set if RefusedBeneath is set and all services that refused
	// report admission levels.
	RefusedByLevel bool
	// ClosedBeneath is the highest admission.Load.Closed among the services that
	// nested calls on this route have used lately.
	ClosedBeneath float64
}

// Seal sets Checksum to the checksum of Body.
func (a *Answer) Seal() {
	a.Checksum = xxhash.Sum64(a.Body)
}

// Matches reports whether the answer belongs to the request and its body is
// undamaged.
func (a *Answer) Matches(r *Request) bool {
	return a.ID == r.ID && a.Checksum == xxhash.Sum64(a.Body)
}

// Ping checks whether an owner is reachable.
type Ping struct {
	// Host is the ID of the host that sends the ping.
	Host string
}

// Cancel asks an owner to cancel the call whose Request.ID is ID.
type Cancel struct {
	ID string
	// NotRun is set in the reply if the call has not run and never will. Owners of
	// earlier builds don't set it.
	NotRun bool
}
