package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"curranthold.example/curranthold/internal/httphead"
	"curranthold.example/curranthold/pkg/header"
	"curranthold.example/curranthold/pkg/object"
)

const (
	// maxResponseBytes limits how much of a response body is read.
	maxResponseBytes = 64 << 20
	// defaultTimeout limits a request to one node, except for watches.
	defaultTimeout = 15 * time.Second
)

// call is a request to the API, independent of the node that it is sent to.
type call struct {
	method      string
	path        string
	query       url.Values
	operationID string
	body        []byte
}

func (c *Client) read(ctx context.Context, path string, query url.Values, into any) error {
	return c.exchange(ctx, call{method: http.MethodGet, path: path, query: query}, into)
}

func (c *Client) write(ctx context.Context, method, path, operationID string, query url.Values, body, into any) error {
	request := call{method: method, path: path, query: query, operationID: operationID}
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return err
		}
		request.body = encoded
	}
	return c.exchange(ctx, request, into)
}

func (c *Client) exchange(ctx context.Context, request call, into any) error {
	response, err := c.send(ctx, request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("client: the answer is not of this API: %w", err)
	}
	return nil
}

// send sends a call to the nodes in order, until one accepts it or refuses it for a
// reason that holds for all nodes. Sending an operation to several nodes is safe: a repeated operation is
// recognized by its identifier.
func (c *Client) send(ctx context.Context, request call) (*http.Response, error) {
	err := errors.New("no node is given")
	for _, node := range c.Nodes {
		var response *http.Response
		response, err = c.sendTo(ctx, node, request)
		if err == nil {
			return response, nil
		}
		if !shouldTryNext(err) {
			return nil, err
		}
	}
	var refusal *object.Refusal
	if errors.As(err, &refusal) {
		return nil, err
	}
	return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
}

// shouldTryNext reports whether another node may accept a call that failed with err.
func shouldTryNext(err error) bool {
	var refusal *object.Refusal
	if !errors.As(err, &refusal) {
		return true
	}
	switch refusal.Code {
	case object.NotReady, object.PlatformUnavailable, object.OutcomeUnknown:
		return true
	default:
		return false
	}
}

func (c *Client) sendTo(ctx context.Context, node string, request call) (*http.Response, error) {
	target := strings.TrimSuffix(node, "/") + request.path
	if len(request.query) > 0 {
		target += "?" + request.query.Encode()
	}
	r, err := http.NewRequestWithContext(ctx, request.method, target, bytes.NewReader(request.body))
	if err != nil {
		return nil, err
	}
	r.Header.Set(header.Operator, "Bearer "+c.Token)
	if request.operationID != "" {
		r.Header.Set(header.OperationID, request.operationID)
	}
	if request.body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	client := c.HTTP
	if client == nil {
		client = &http.Client{Timeout: defaultTimeout}
	}
	response, err := client.Do(r)
	if err != nil {
		return nil, err
	}
	if err := checkHead(response); err != nil {
		_ = response.Body.Close()
		client.CloseIdleConnections() // One without a body counts as idle already.
		return nil, err
	}
	if response.StatusCode >= http.StatusBadRequest {
		defer func() { _ = response.Body.Close() }()
		return nil, decodeRefusal(response)
	}
	return response, nil
}

// checkHead returns an error if the head is none of a final response.
func checkHead(response *http.Response) error {
	if !httphead.IsFinal(response.StatusCode) {
		return fmt.Errorf("client: HTTP status %d, which is none of a final response", response.StatusCode)
	}
	return httphead.Check(response)
}

// decodeRefusal returns the refusal in an error response, or an error with the
// HTTP status if there is none.
func decodeRefusal(response *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	refusal := new(object.Refusal)
	if json.Unmarshal(data, refusal) != nil || refusal.Code == "" {
		return fmt.Errorf("client: HTTP status %s", response.Status)
	}
	return refusal
}
