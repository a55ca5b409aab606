package platform

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
)

// Objects is the part of a [Client] that implements [ObjectStore].
type Objects struct {
	client  *Client
	service service
}

// Put implements ObjectStore.
func (o *Objects) Put(ctx context.Context, name string, data []byte) error {
	if len(data) > maxObjectBytes {
		return fmt.Errorf("%w: object exceeds %d bytes", ErrRefused, maxObjectBytes)
	}
	_, err := o.do(ctx, request{
		method:           http.MethodPut,
		path:             objectPath(name),
		body:             data,
		write:            true,
		maxResponseBytes: maxTableBytes,
	})
	return err
}

// Get implements ObjectStore.
func (o *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	return o.do(ctx, request{
		method:           http.MethodGet,
		path:             objectPath(name),
		maxResponseBytes: maxObjectBytes,
	})
}

func (o *Objects) do(ctx context.Context, r request) ([]byte, error) {
	if !o.client.beginCall() {
		return nil, fmt.Errorf("%w: client closed", ErrUnavailable)
	}
	defer o.client.pending.Done()
	response, err := o.service.do(ctx, r)
	return response.body, err
}

func objectPath(name string) string {
	return PathObjects + url.PathEscape(name)
}
