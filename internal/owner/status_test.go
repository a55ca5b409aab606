package owner_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/pkg/header"
	"curranthold.example/curranthold/pkg/verdict"
)

// TestStatuses guards against a status that is none and is passed to the caller as that
// of a response, or ends the caller's connection: a final status has three digits and is
// between 200 and 599.
func TestStatuses(t *testing.T) {
	tests := map[string]bool{
		"200": true, "204": true, "299": true, "304": true, "418": true, "500": true, "599": true,
		"000": false, "001": false, "099": false, "+20": false, "-01": false, "-20": false,
		"0": false, "20": false, "2000": false, "2x0": false, "": false, "２00": false,
		"100": false, "101": false, "103": false, "150": false, "199": false,
		"600": false, "700": false, "999": false,
	}
	// parsed holds the statuses that net/http passes on.
	parsed := map[string]bool{"000": true, "001": true, "099": true, "+20": true, "101": true, "600": true, "700": true, "999": true}
	bodies := map[string]string{
		"body":          "Content-Length: 4\r\n\r\nbody",
		"no body":       "Content-Length: 0\r\n\r\n",
		"no length":     "\r\n",
		"refusal":       header.Refused + ": overloaded\r\nContent-Length: 0\r\n\r\n",
		"upgrade":       "Connection: Upgrade\r\nUpgrade: x\r\n\r\n",
		"other request": header.RequestID + ": other\r\nContent-Length: 0\r\n\r\n",
	}
	for status, valid := range tests {
		for kind, rest := range bodies {
			if valid && kind != "body" && kind != "no body" {
				continue // Not a result of the request for another reason.
			}
			body := ""
			if kind == "body" && status != "204" && status != "304" {
				body = "body"
			}
			t.Run(status+", "+kind, func(t *testing.T) {
				raw := "HTTP/1.1 " + status + " Status\r\n" + rest
				if valid {
					testSoundResponse(t, raw, body)
					return
				}
				// Otherwise the response would go on, or no final one would follow.
				ends := kind == "no length" || kind == "upgrade" || (strings.HasPrefix(status, "1") && status != "101")
				code := testBrokenResponse(t, raw, ends)
				if parsed[status] {
					qt.Check(t, code, qt.Equals, verdict.StatusInvalid)
				}
			})
		}
	}
}
