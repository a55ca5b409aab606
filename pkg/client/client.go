package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"curranthold.example/curranthold/pkg/object"
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

func objectPath(id object.ID) string {
	return "/v1/objects/" + url.PathEscape(string(id.Kind)) + "/" + url.PathEscape(id.Name)
}

func forceQuery(force bool) url.Values {
	if !force {
		return url.Values{}
	}
	return url.Values{"force": {"true"}}
}
