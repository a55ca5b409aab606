package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"

	"curranthold.example/curranthold/pkg/header"
)

// NestedCall is a call to another service that a backend server makes while it
// serves a request.
type NestedCall struct {
	Method string
	Path   string
}

// ParseNestedCall parses "METHOD /path".
func ParseNestedCall(text string) (NestedCall, error) {
	method, path, ok := strings.Cut(text, " ")
	if !ok || method == "" || !strings.HasPrefix(path, "/") {
		return NestedCall{}, fmt.Errorf("call %q is not of the form METHOD /path", text)
	}
	return NestedCall{Method: method, Path: path}, nil
}

// NestedAnswer is the outcome of a nested call, as part of an [Answer].
type NestedAnswer struct {
	Call   string `json:"call"`
	Status int    `json:"status"`
	// RequestID and Account are those in the body of the nested response.
	RequestID string `json:"request-id,omitempty"`
	Account   string `json:"client-account,omitempty"`
	// Digest is the xxhash of the nested response's body, in hexadecimal.
	Digest  string `json:"digest,omitempty"`
	Verdict string `json:"verdict,omitempty"`
	Code    string `json:"code,omitempty"`
	// Error is set if there was no complete response; Status is 0 then.
	Error string `json:"error,omitempty"`
}

// errorBody is the body of an error response of a node.
type errorBody struct {
	Verdict string `json:"verdict"`
	Code    string `json:"code"`
	Message string `json:"message"`
}

// callNested makes a nested call through the node. The token is the call token of
// the parent request.
func (b *Backend) callNested(ctx context.Context, call NestedCall, token string) NestedAnswer {
	nested := NestedAnswer{Call: call.Method + " " + call.Path}
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+b.config.Node+call.Path, nil)
	if err != nil {
		nested.Error = err.Error()
		return nested
	}
	req.Header.Set(header.CallToken, token)
	got, err := fetch(b.client, req)
	if err != nil {
		nested.Error = err.Error()
		return nested
	}
	nested.Status = got.status
	nested.fill(got.body)
	return nested
}

// fill sets the fields that come from the body of the nested response.
func (n *NestedAnswer) fill(body []byte) {
	n.Digest = fmt.Sprintf("%016x", xxhash.Sum64(body))
	if n.Status != http.StatusOK {
		var e errorBody
		_ = json.Unmarshal(body, &e)
		n.Verdict, n.Code = e.Verdict, e.Code
		return
	}
	var a Answer
	if err := json.Unmarshal(body, &a); err != nil {
		n.Status, n.Error = 0, "malformed answer"
		return
	}
	n.RequestID, n.Account = a.RequestID, a.Account
}
