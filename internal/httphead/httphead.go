// Package httphead checks the heads of HTTP responses. It refuses what net/http lets pass
// but no caller may get as a response.
package httphead

import (
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// maxStatus is the highest status of a response.
const maxStatus = 599

// IsFinal reports whether a status is that of a final response: not an informational one,
// and not a number that is no status.
func IsFinal(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// Check returns an error if the reason phrase or a field of the response is not one of HTTP;
// see [CheckFields].
func Check(response *http.Response) error {
	if !httpguts.ValidHeaderFieldValue(response.Status) {
		return fmt.Errorf("httphead: invalid reason phrase: %q", response.Status)
	}
	return CheckFields(response.Header)
}

// CheckFields returns an error if a name or a value in the header, or in a trailer, is not
// one of HTTP. Net/http accepts names with blanks. A line with such a name may have been
// meant for another field, for instance one that says where the body ends.
func CheckFields(h http.Header) error {
	for name, values := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("httphead: invalid name of a field: %q", name)
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return fmt.Errorf("httphead: invalid value of field %s: %q", name, value)
			}
		}
	}
	return nil
}
