// Package object defines the configuration objects that operators declare:
// client accounts, keys, routes, services, availability zones and rollouts.
package object

import "time"

// Kind is the kind of an object, in kebab case.
type Kind string

// The kinds of objects.
const (
	KindClientAccount    Kind = "client-account"
	KindKey              Kind = "key"
	KindRollout          Kind = "rollout"
	KindRoute            Kind = "route"
	KindService          Kind = "service"
	KindAvailabilityZone Kind = "availability-zone"
)

// Urgency is the priority of a request under overload: requests with a lower
// value are shed later.
type Urgency uint8

// The urgencies that a route can have, most urgent first.
const (
	Urgent Urgency = iota
	Normal
	Deferrable
	// UrgencyLevels is the number of urgencies that a route can have.
	UrgencyLevels = 3
	// UrgencyRanks is the number of ranks that a client account can have.
	UrgencyRanks = 3
	// UrgencyCount is the number of urgencies that a request can have. The urgency
	// of a request combines the rank of its client account with the urgency of its
	// route; the rank takes precedence.
	UrgencyCount = UrgencyRanks * UrgencyLevels
)

// Metadata holds the name, version and times of an object.
type Metadata struct {
	Name string `json:"name"`
	// ResourceVersion is the configuration generation that last changed the
	// object. A replace or delete operation gives the version that it expects.
	ResourceVersion uint64    `json:"resource-version,omitempty"`
	Created         time.Time `json:"created,omitzero"`
	Updated         time.Time `json:"updated,omitzero"`
}

// ClientAccountSpec declares the rate limit of a client account, which applies to
// all hosts together, and the account's rank.
type ClientAccountSpec struct {
	// Rate is the refill rate of the account's token bucket, in requests per second.
	Rate float64 `json:"rate"`
	// Burst is the capacity of the token bucket, in requests; it is at least 1.
	Burst float64 `json:"burst"`
	// Rank takes precedence over the urgency of the route: requests of an account
	// with a lower rank are shed later. It is at least 0 and at most
	// UrgencyRanks - 1.
	Rank int `json:"rank,omitempty"`
}

// KeySpec declares a key of a client account. The secret itself is never stored.
type KeySpec struct {
	ClientAccount string `json:"client-account"`
	// Salt and Hash are hexadecimal; Hash is the SHA-256 of salt and secret.
	Salt string `json:"salt"`
	Hash string `json:"hash"`
	// Digest replaces Salt and Hash for a key that was not created by the resource
	// API. It is the SHA-256 of the whole key, in hexadecimal.
	Digest string `json:"digest,omitempty"`
	// Withdrawn is set once the key is withdrawn, which is permanent.
	Withdrawn bool `json:"withdrawn"`
}

// RouteSpec declares which requests are sent to which service, and how they are
// handled.
type RouteSpec struct {
	// Method is an HTTP method; empty matches every method.
	Method string `json:"method,omitempty"`
	// Host is the host name in the Host header; empty matches every name. A route
	// with a host takes precedence over one without.
	Host string `json:"host,omitempty"`
	// PathPrefix matches whole segments of the decoded path. On a route with a
	// host, it is a plain prefix of the path as it was sent, before decoding. The
	// longest match wins.
	PathPrefix string `json:"path-prefix"`
	Service    string `json:"service"`
	// Splits distributes the route's requests over several services; Service is
	// then ignored.
	Splits  []Split `json:"splits,omitempty"`
	Urgency Urgency `json:"urgency"`
	// NonRepeatable is set if a request must not be sent again once it may have
	// run.
	NonRepeatable bool `json:"non-repeatable,omitempty"`
	// Open is set if callers need no key. Their calls then belong to no client
	// account.
	Open bool `json:"open,omitempty"`
	// TimeoutMs limits a call for which the caller gave no deadline, in milliseconds.
	TimeoutMs int `json:"timeout-ms,omitempty"`
	// ObjectiveMs is the latency objective of the route, in milliseconds: later
	// responses miss it. 0 means no objective.
	ObjectiveMs int `json:"objective-ms,omitempty"`
	// Attempts limits the attempts of a call: a root call on the route and its nested
	// calls share Attempts - 1 attempts beyond the first of each. If Attempts is 0,
	// they share the extra attempts in the node's settings.
	Attempts int `json:"attempts,omitempty"`
}

// Split is a service that gets a share of a route's requests.
type Split struct {
	Service string `json:"service"`
	// Weight is the size of the share, relative to the weights of the other splits.
	Weight float64 `json:"weight"`
}

// ServiceSpec declares a service. Each backend server announces the service that
// it belongs to.
type ServiceSpec struct {
	Description string `json:"description,omitempty"`
	// HealthPath is the URL path of a backend server's health check.
	HealthPath string `json:"health-path,omitempty"`
	// Connections is the maximum number of connections that a backend server
	// accepts. 0 means the number that the backend server announces.
	Connections int `json:"connections,omitempty"`
	// ColdMs is how long a backend server is cold (not yet at full capacity) after
	// its start, in milliseconds. ColdRate is the number of requests per second that
	// it can serve meanwhile; 0 means no limit.
	ColdMs   int     `json:"cold-ms,omitempty"`
	ColdRate float64 `json:"cold-rate,omitempty"`
}

// RolloutSpec orders that the traffic of the service with the object's name be moved to
// another version of its backend servers.
type RolloutSpec struct {
	// Target is the version that the backend servers of the new version announce.
	Target string `json:"target"`
	// OverMs is the time from the order to its deadline, in milliseconds. By then the
	// rollout is completed or rolled back.
	OverMs int `json:"over-ms"`
}

// AvailabilityZoneSpec declares whether an availability zone gets new requests,
// and what its nodes do while they are isolated.
type AvailabilityZoneSpec struct {
	InService bool `json:"in-service"`
	// IsolatedKeys says whether the zone's nodes accept keys once they have reached
	// neither the platform nor another zone for IsolatedAfterMs milliseconds.
	IsolatedKeys    IsolatedKeyPolicy `json:"isolated-keys,omitempty"`
	IsolatedAfterMs int               `json:"isolated-after-ms,omitempty"`
}

// IsolatedKeyPolicy says whether isolated nodes accept keys, although these nodes may
// not have learned that a key was withdrawn.
type IsolatedKeyPolicy string

// The values of IsolatedKeyPolicy. The empty string means IsolatedServe.
const (
	IsolatedServe  IsolatedKeyPolicy = "serve"
	IsolatedRefuse IsolatedKeyPolicy = "refuse"
)
