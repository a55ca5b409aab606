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
	"strconv"
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

// ErrUnreachable means that no node gave a complete response. An operation may
// still have been accepted; sending it again with the same operation identifier
// shows whether it was.
var ErrUnreachable = errors.New("client: no node answered")

// Client calls the resource API. Its fields must not change after its first use.
type Client struct {
	// Nodes are the base URLs of nodes, such as http://10.0.0.1:7400. A request is
	// sent to the next one if a node does not respond or can't serve it at the moment.
	Nodes []string
	// Token is the operator's token.
	Token string
	// HTTP is the HTTP client; nil means a client with a timeout of 15 s.
	HTTP *http.Client
}

// Get returns an object with its status conditions.
func (c *Client) Get(ctx context.Context, id object.ID) (object.Object, error) {
	var o object.Object
	err := c.read(ctx, objectPath(id), nil, &o)
	return o, err
}

// List returns the objects of a kind, with their status conditions if conditions
// is set.
func (c *Client) List(ctx context.Context, kind object.Kind, conditions bool) (List, error) {
	var list List
	query := url.Values{"conditions": {strconv.FormatBool(conditions)}}
	err := c.read(ctx, "/v1/objects/"+url.PathEscape(string(kind)), query, &list)
	return list, err
}

// Apply applies all objects of a batch or none of them. It is safe to repeat with
// the same operation identifier.
func (c *Client) Apply(ctx context.Context, operationID string, batch Batch, force bool) (Result, error) {
	var result Result
	err := c.write(ctx, http.MethodPost, "/v1/objects", operationID, forceQuery(force), batch, &result)
	return result, err
}

// Check returns what Apply would change, without changing it.
func (c *Client) Check(ctx context.Context, batch Batch, force bool) (Result, error) {
	var result Result
	err := c.write(ctx, http.MethodPost, "/v1/check", "", forceQuery(force), batch, &result)
	return result, err
}

// Delete deletes an object if it has the given resource version.
func (c *Client) Delete(ctx context.Context, operationID string, id object.ID, version uint64, force bool) (Result, error) {
	var result Result
	query := forceQuery(force)
	query.Set("resource-version", strconv.FormatUint(version, 10))
	err := c.write(ctx, http.MethodDelete, objectPath(id), operationID, query, nil, &result)
	return result, err
}

// CreateKey creates a key. Only the result of this call contains the key itself.
func (c *Client) CreateKey(ctx context.Context, operationID string, request KeyRequest) (KeyResult, error) {
	var result KeyResult
	err := c.write(ctx, http.MethodPost, "/v1/keys", operationID, nil, request, &result)
	return result, err
}

// WithdrawKey withdraws a key permanently.
func (c *Client) WithdrawKey(ctx context.Context, operationID, name string) (Result, error) {
	var result Result
	err := c.write(ctx, http.MethodPost, "/v1/keys/"+url.PathEscape(name)+"/withdraw", operationID, nil, nil, &result)
	return result, err
}

// SetZoneInService takes an availability zone into service or out of service.
func (c *Client) SetZoneInService(ctx context.Context, operationID, name string, inService, force bool) (Result, error) {
	direction := "out"
	if inService {
		direction = "in"
	}
	var result Result
	path := "/v1/availability-zones/" + url.PathEscape(name) + "/" + direction
	err := c.write(ctx, http.MethodPost, path, operationID, forceQuery(force), nil, &result)
	return result, err
}

// Rollout returns the state of a service's last rollout.
func (c *Client) Rollout(ctx context.Context, service string) (Rollout, error) {
	var rollout Rollout
	err := c.read(ctx, "/v1/rollouts/"+url.PathEscape(service), nil, &rollout)
	return rollout, err
}

// Rollouts returns the states of the rollouts that are ordered.
func (c *Client) Rollouts(ctx context.Context) (Rollouts, error) {
	var all Rollouts
	err := c.read(ctx, "/v1/rollouts", nil, &all)
	return all, err
}

// Audit returns at most limit records of the audit trail after a generation, oldest
// first.
func (c *Client) Audit(ctx context.Context, after uint64, limit int) (Audit, error) {
	var page Audit
	query := url.Values{"after": {strconv.FormatUint(after, 10)}, "limit": {strconv.Itoa(limit)}}
	err := c.read(ctx, "/v1/audit", query, &page)
	return page, err
}

// Status returns the status of the first node that responds.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	err := c.read(ctx, "/v1/status", nil, &status)
	return status, err
}

// Watch calls each for every change to objects of a kind after a generation. It
// returns when the context ends, each returns an error, or the node ends the
// stream.
func (c *Client) Watch(ctx context.Context, kind object.Kind, after uint64, each func(Event) error) error {
	path := "/v1/objects/" + url.PathEscape(string(kind))
	query := url.Values{"watch": {strconv.FormatUint(after, 10)}}
	watcher := *c
	watcher.HTTP = &http.Client{}
	if c.HTTP != nil {
		watcher.HTTP.Transport = c.HTTP.Transport
	}
	response, err := watcher.send(ctx, call{method: http.MethodGet, path: path, query: query})
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	decoder := json.NewDecoder(response.Body)
	for {
		var event Event
		if err := decoder.Decode(&event); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return fmt.Errorf("%w: %w", ErrUnreachable, err)
		}
		if err := each(event); err != nil {
			return err
		}
	}
}

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

func objectPath(id object.ID) string {
	return "/v1/objects/" + url.PathEscape(string(id.Kind)) + "/" + url.PathEscape(id.Name)
}

func forceQuery(force bool) url.Values {
	if !force {
		return url.Values{}
	}
	return url.Values{"force": {"true"}}
}
