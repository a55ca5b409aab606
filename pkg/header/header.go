// Package header defines the names of the HTTP headers that callers, nodes,
// backend servers and operators exchange.
package header

const (
	// Key carries a client account's key from a caller to the node that it calls.
	// The node does not forward it.
	Key = "Curranthold-Key"
	// CallToken carries a token to a backend server with each request. The backend
	// server sends it with the calls that it makes while it serves that request.
	CallToken = "Curranthold-Call-Token"
	// Deadline is the remaining time for the request, in milliseconds.
	Deadline = "Curranthold-Deadline-Ms"
	// IdempotencyKey is an identifier that the caller chose for a request that
	// must not run twice.
	IdempotencyKey = "Curranthold-Idempotency-Key"
	// Ticket is an idempotency key that a node issued. That node decides whether
	// the request may run, without a request to the platform's table service.
	Ticket = "Curranthold-Ticket"
	// RequestID identifies a call in responses, logs and histories. A call is one
	// request of a caller, with all attempts that nodes make to get it served. The
	// node that the caller calls chooses the ID if the caller does not.
	RequestID = "Curranthold-Request-Id"
	// Verdict says in a response whether the request may have run.
	Verdict = "Curranthold-Verdict"
	// Account tells a backend server the client account of the request.
	Account = "Curranthold-Client-Account"
	// Route is the name of the route that the request matched.
	Route = "Curranthold-Route"
	// Urgency is the urgency of the request. A nested call has that of the root
	// request.
	Urgency = "Curranthold-Urgency"
	// Refused is set by a backend server in the response to a request that it
	// refused without running it.
	Refused = "Curranthold-Refused"
	// RateLimit is set by a backend server in need in all its responses: the number of
	// requests a second that it takes from all callers together.
	RateLimit = "Curranthold-Rate-Limit"
	// Leaving is set to 1 in all responses of a backend server that is shutting down.
	Leaving = "Curranthold-Leaving"
	// OperationID identifies an operation on the resource API. An operation is
	// applied at most once for each identifier.
	OperationID = "Curranthold-Operation-Id"
	// Operator carries an operator's token to the resource API.
	Operator = "Authorization"
)
