// Package httpstatus says which HTTP statuses a response may have.
package httpstatus

import "net/http"

// maxStatus is the highest status of a response.
const maxStatus = 599

// IsFinal reports whether a status is that of a final response: not an informational one,
// and not a number that is no status.
func IsFinal(status int) bool { return status >= http.StatusOK && status <= maxStatus }
