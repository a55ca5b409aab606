package entry

import (
	"context"
	"errors"
	"net/rpc"
	"strings"
	"sync"
	"time"

	"curranthold.example/curranthold/internal/call"
	"curranthold.example/curranthold/internal/peer"
)

// The net/rpc methods of an owner. Nodes of builds before packedMethod have only
// plainMethod.
const (
	packedMethod = "Owner.Exchange"
	plainMethod  = "Owner.Call"
)

// plainFor is how long a node that has no packedMethod is called by plainMethod.
const plainFor = 10 * time.Second

// exchanger sends calls to owners on other hosts. The zero value needs only peers.
type exchanger struct {
	peers peer.Caller
	// plainUntil holds, by address, until when a node is called by plainMethod, as a
	// time.Time.
	plainUntil sync.Map
}

// exchange sends the request to the node at the address and returns its answer.
func (x *exchanger) exchange(ctx context.Context, address string, request *call.Request) (*call.Answer, error) {
	if until, ok := x.plainUntil.Load(address); ok && time.Now().Before(until.(time.Time)) {
		return x.exchangePlain(ctx, address, request)
	}
	packed, reply := request.Pack(), call.Packed{}
	err := x.peers.Call(ctx, address, packedMethod, &packed, &reply)
	if isUnknownMethod(err) {
		x.plainUntil.Store(address, time.Now().Add(plainFor))
		return x.exchangePlain(ctx, address, request)
	}
	if err != nil {
		return nil, err
	}
	return reply.Answer()
}

func (x *exchanger) exchangePlain(ctx context.Context, address string, request *call.Request) (*call.Answer, error) {
	answer := new(call.Answer)
	if err := x.peers.Call(ctx, address, plainMethod, request, answer); err != nil {
		return nil, err
	}
	return answer, nil
}

// isUnknownMethod reports whether the error is net/rpc's for a method that the node does
// not have. It has then not handled the call.
func isUnknownMethod(err error) bool {
	var remote rpc.ServerError
	return errors.As(err, &remote) && (strings.HasPrefix(string(remote), "rpc: can't find method") ||
		strings.HasPrefix(string(remote), "rpc: can't find service"))
}
