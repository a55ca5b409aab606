// Package peer implements calls between the nodes: net/rpc over authenticated
// connections, in checksummed frames of limited size.
package peer

import (
	"context"
	"errors"
)

var (
	// ErrNotSent means that the request was never written to a connection, so
	// the other node has not acted on it and never will.
	ErrNotSent = errors.New("peer: not sent")
	// ErrBroken means that the connection failed or the context ended after the
	// request may have been written, so the other node may or may not act on it.
	ErrBroken = errors.New("peer: exchange broken")
)

// Caller calls methods of other nodes. Method is "Service.Method" as in net/rpc;
// args and reply must be encodable by gob, and reply must be a pointer. An error
// that the other node's method returned is returned as an error that is neither
// ErrNotSent nor ErrBroken.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}
