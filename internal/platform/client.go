package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"curranthold.example/curranthold/internal/httpconn"
	"curranthold.example/curranthold/internal/socket"
)

const (
	defaultTimeout = 2 * time.Second
	idleTimeout    = 30 * time.Second
	// maxConns limits the connections to each service; further requests wait for
	// a free one, as part of their timeout.
	maxConns = 32
	// maxTableBytes limits the body of a request to the table service, and of each
	// response that holds no object.
	maxTableBytes = 8 << 20
	// maxHeaderBytes limits the header of a response.
	maxHeaderBytes = 16 << 10
	// maxObjectBytes limits the size of an object.
	maxObjectBytes = 32 << 20
)

// Config holds the addresses of the platform's services, which may be equal.
type Config struct {
	// TableAddress is the host and port of the table service.
	TableAddress string
	// StoreAddress is the host and port of the object store.
	StoreAddress string
	// Timeout is the timeout of each request, including the dial; 0 means 2
	// seconds.
	Timeout time.Duration
}

// Client is an HTTP client of the platform. It implements [Table]; [Client.Objects]
// returns its [ObjectStore]. It never retries a request. Its methods may be called
// by several goroutines at once.
//
// Each service has a circuit breaker. After several consecutive failures, requests
// to the service fail at once with ErrUnavailable, except for one probe at a time,
// until a probe does not fail.
type Client struct {
	table     service
	objects   Objects
	transport *http.Transport

	mu      sync.Mutex
	closed  bool
	pending sync.WaitGroup
}

var (
	_ Table       = (*Client)(nil)
	_ ObjectStore = (*Objects)(nil)
)

// New returns a client. It opens no connection before the first request.
func New(config Config) *Client {
	if config.Timeout <= 0 {
		config.Timeout = defaultTimeout
	}
	transport := newTransport(config.Timeout)
	client := &http.Client{Transport: transport, CheckRedirect: stopAtRedirect}
	c := &Client{
		table:     service{name: "table", address: config.TableAddress, timeout: config.Timeout, http: client, classify: classify},
		transport: transport,
	}
	c.objects.client = c
	c.objects.service = service{name: "object-store", address: config.StoreAddress, timeout: config.Timeout, http: client, classify: classify}
	return c
}

func newTransport(timeout time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:         httpconn.Dial(socket.Dialer(timeout).DialContext),
		MaxConnsPerHost:     maxConns,
		MaxIdleConnsPerHost: maxConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// stopAtRedirect makes the HTTP client return a redirect as the response. Following
// it would send a write twice.
func stopAtRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Objects returns the client's object store.
func (c *Client) Objects() *Objects { return &c.objects }

// Get implements Table.
func (c *Client) Get(ctx context.Context, keys ...string) ([]Row, error) {
	rows, err := c.read(ctx, PathGet, GetRequest{Keys: keys})
	if err != nil {
		return nil, err
	}
	if len(rows.Rows) != len(keys) {
		return nil, fmt.Errorf("%w: %d rows for %d keys", ErrUnavailable, len(rows.Rows), len(keys))
	}
	for i, row := range rows.Rows {
		if row.Key != keys[i] {
			return nil, fmt.Errorf("%w: row %q for key %q", ErrUnavailable, row.Key, keys[i])
		}
	}
	return rows.Rows, nil
}

// List implements Table. If the service returns an incomplete page, List requests
// the next one, so fewer than limit rows mean that there are no more. The pages are
// read one after the other, so they may reflect different points in time.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	var all []Row
	for len(all) < limit {
		request := ListRequest{Prefix: prefix, After: after, Limit: limit - len(all)}
		page, err := c.read(ctx, PathList, request)
		if err != nil {
			return nil, err
		}
		if err := checkPage(request, page); err != nil {
			return nil, err
		}
		all = append(all, page.Rows...)
		if !page.More {
			break
		}
		after = page.Rows[len(page.Rows)-1].Key
	}
	return all, nil
}

// checkPage returns an error if the page is not a valid response to the request.
func checkPage(request ListRequest, page Rows) error {
	if len(page.Rows) > request.Limit || (page.More && len(page.Rows) == 0) {
		return fmt.Errorf("%w: page of %d rows for a limit of %d", ErrUnavailable, len(page.Rows), request.Limit)
	}
	after := request.After
	for _, row := range page.Rows {
		if row.Key <= after || !strings.HasPrefix(row.Key, request.Prefix) {
			return fmt.Errorf("%w: row %q is out of order or lacks the prefix", ErrUnavailable, row.Key)
		}
		after = row.Key
	}
	return nil
}

// Commit implements Table.
func (c *Client) Commit(ctx context.Context, tx Transaction) error {
	_, err := c.post(ctx, PathCommit, tx, true)
	return err
}

func (c *Client) read(ctx context.Context, path string, message any) (Rows, error) {
	body, err := c.post(ctx, path, message, false)
	if err != nil {
		return Rows{}, err
	}
	var rows Rows
	if err := json.Unmarshal(body, &rows); err != nil {
		return Rows{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return rows, nil
}

func (c *Client) post(ctx context.Context, path string, message any, write bool) ([]byte, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	if len(body) > maxTableBytes {
		return nil, fmt.Errorf("%w: request exceeds %d bytes", ErrRefused, maxTableBytes)
	}
	if !c.beginCall() {
		return nil, fmt.Errorf("%w: client closed", ErrUnavailable)
	}
	defer c.pending.Done()
	response, err := c.table.do(ctx, request{
		method:           http.MethodPost,
		path:             path,
		body:             body,
		write:            write,
		maxResponseBytes: maxTableBytes,
	})
	return response.body, err
}

// beginCall adds a call to those for which Close waits. If the client is closed, it
// returns false.
func (c *Client) beginCall() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.pending.Add(1)
	return true
}

// Close waits for the calls in progress and closes the client's connections.
// Later calls return ErrUnavailable.
func (c *Client) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.pending.Wait()
	c.transport.CloseIdleConnections()
	return nil
}
