// Package object holds the objects that operators declare: client accounts,
// keys, routes, services and availability zones.
package object

import "time"

// Kind is the kind of an object, in kebab case.
type Kind string

// The kinds of object.
const (
	KindClientAccount    Kind = "client-account"
	KindKey              Kind = "key"
	KindRoute            Kind = "route"
	KindService          Kind = "service"
	KindAvailabilityZone Kind = "availability-zone"
)

// Urgency orders requests under overload. A lower value is shed later.
type Urgency uint8

// The urgencies, most urgent first.
const (
	Urgent Urgency = iota
	Normal
	Deferrable
	// UrgencyLevels is the number of urgencies that a route may state.
	UrgencyLevels = 3
	// UrgencyRanks is the number of ranks of client accounts.
	UrgencyRanks = 3
	// UrgencyCount is the number of urgencies of requests: the rank of the client
	// account goes before what the route states.
	UrgencyCount = UrgencyRanks * UrgencyLevels
)

// Metadata is what the system keeps about each object.
type Metadata struct {
	Name string `json:"name"`
	// ResourceVersion is the configuration generation that last changed the
	// object. A replace or delete states the version that it expects.
	ResourceVersion uint64    `json:"resource-version,omitempty"`
	Created         time.Time `json:"created,omitzero"`
	Updated         time.Time `json:"updated,omitzero"`
}

// ClientAccountSpec declares how much a client account may send, over all hosts
// together.
type ClientAccountSpec struct {
	// Rate is in requests a second.
	Rate float64 `json:"rate"`
	// Burst is in requests, at least 1.
	Burst float64 `json:"burst"`
	// Rank orders requests before the urgency of their routes does: those of an
	// account with a lower rank are shed later. It is at most UrgencyRanks - 1.
	Rank int `json:"rank,omitempty"`
}

// KeySpec declares a key of a client account. The secret itself is never kept.
type KeySpec struct {
	ClientAccount string `json:"client-account"`
	// Salt and Hash are hexadecimal; Hash is SHA-256 over salt and secret.
	Salt string `json:"salt"`
	Hash string `json:"hash"`
	// Digest stands in place of Salt and Hash for a key that was made elsewhere:
	// the SHA-256 of the whole key, in hexadecimal.
	Digest string `json:"digest,omitempty"`
	// Withdrawn stops the key for good.
	Withdrawn bool `json:"withdrawn"`
}

// RouteSpec declares which requests go to which service, and how.
type RouteSpec struct {
	// Method is an HTTP method; empty matches every method.
	Method string `json:"method,omitempty"`
	// Host is the name in the Host header that the route serves; empty matches
	// every name. A route with a host is matched against the path as it was sent.
	Host string `json:"host,omitempty"`
	// PathPrefix matches whole path segments; the longest match wins.
	PathPrefix string `json:"path-prefix"`
	Service    string `json:"service"`
	// Splits spreads the route's requests over several services, in place of
	// Service.
	Splits  []Split `json:"splits,omitempty"`
	Urgency Urgency `json:"urgency"`
	// NonRepeatable requests are never sent again once they may have run.
	NonRepeatable bool `json:"non-repeatable,omitempty"`
	// Open routes need no key; their calls belong to no client account.
	Open bool `json:"open,omitempty"`
	// TimeoutMs bounds a call without a deadline of its own, in milliseconds.
	TimeoutMs int `json:"timeout-ms,omitempty"`
	// ObjectiveMs is the time within which an answer is worth most, in
	// milliseconds. 0 states none.
	ObjectiveMs int `json:"objective-ms,omitempty"`
	// Attempts is the most backend servers that one request is sent to; 0 leaves
	// it to the node's settings.
	Attempts int `json:"attempts,omitempty"`
}

// Split is one part of a route's requests.
type Split struct {
	Service string `json:"service"`
	// Weight is the part's share against the other parts.
	Weight float64 `json:"weight"`
}

// ServiceSpec declares a service, which backend servers announce themselves for.
type ServiceSpec struct {
	Description string `json:"description,omitempty"`
	// HealthPath is where a backend server answers questions about its health.
	HealthPath string `json:"health-path,omitempty"`
	// Connections is the most that one backend server accepts; 0 leaves it to
	// its announcement.
	Connections int `json:"connections,omitempty"`
	// ColdMs is how long a backend server is cold after its start, in
	// milliseconds, and ColdRate how many requests a second it bears meanwhile.
	// A ColdRate of 0 states no bound.
	ColdMs   int     `json:"cold-ms,omitempty"`
	ColdRate float64 `json:"cold-rate,omitempty"`
}

// AvailabilityZoneSpec declares whether an availability zone takes new work.
type AvailabilityZoneSpec struct {
	InService bool `json:"in-service"`
	// IsolatedKeys says what the zone's nodes do with keys when they have heard
	// neither the platform nor another zone for IsolatedAfterMs milliseconds.
	IsolatedKeys    IsolatedKeys `json:"isolated-keys,omitempty"`
	IsolatedAfterMs int          `json:"isolated-after-ms,omitempty"`
}

// IsolatedKeys is the choice between serving on keys that may have been
// withdrawn and refusing them.
type IsolatedKeys string

// The choices for an isolated availability zone. Empty means IsolatedServe.
const (
	IsolatedServe  IsolatedKeys = "serve"
	IsolatedRefuse IsolatedKeys = "refuse"
)
