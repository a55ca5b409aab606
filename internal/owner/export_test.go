package owner

import (
	"context"
	"net"

	"curranthold.example/curranthold/internal/httpconn"
)

// WrapConns makes wrap see all that passes the connections to the backend server that is
// announced. It must be called before the first call.
func (o *Owner) WrapConns(wrap func(net.Conn) net.Conn) {
	transport := o.current().transport
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return httpconn.New(wrap(conn.(*httpconn.Conn).Conn)), nil
	}
}
