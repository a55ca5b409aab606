package platform

// The URL paths of the services. An object's escaped name is appended to PathObjects.
const (
	PathGet     = "/v1/table/get"
	PathList    = "/v1/table/list"
	PathCommit  = "/v1/table/commit"
	PathObjects = "/v1/objects/"
)

// GetRequest is the body of a request to PathGet. The response is Rows.
type GetRequest struct {
	Keys []string `json:"keys"`
}

// ListRequest is the body of a request to PathList. The response is Rows.
type ListRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after,omitempty"`
	Limit  int    `json:"limit"`
}

// Rows is the response to a read of the table.
type Rows struct {
	Rows []Row `json:"rows"`
	// More is set if the service returned fewer rows than the limit although
	// there are more.
	More bool `json:"more,omitempty"`
}

// Refusal is the body of each response of a service whose status is not 200. The code
// distinguishes the service's own responses from those of an intermediary.
type Refusal struct {
	Code    RefusalCode `json:"code"`
	Message string      `json:"message,omitempty"`
}

// RefusalCode identifies the reason for a refusal.
type RefusalCode string

// The refusal codes, each with its HTTP status.
const (
	// CodeConflict is sent with status 409: a condition did not hold.
	CodeConflict RefusalCode = "conflict"
	// CodeUnavailable is sent with status 503: the service did not process the
	// request.
	CodeUnavailable RefusalCode = "unavailable"
	// CodeNotFound is sent with status 404: there is no such object.
	CodeNotFound RefusalCode = "not-found"
	// CodeRefused is sent with status 400 or 413: the request is invalid or too
	// large.
	CodeRefused RefusalCode = "refused"
)
