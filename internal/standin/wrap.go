package standin

import (
	"context"
	"net"
	"net/http"

	"curranthold.example/curranthold/internal/httpconn"
)

// WrapConns makes wrap see all that passes the connections of a transport, which are of type
// *httpconn.Conn. It must be called before the first request.
func WrapConns(transport *http.Transport, wrap func(net.Conn) net.Conn) {
	dial := transport.DialContext
	transport.DialContext = httpconn.Dial(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return wrap(conn.(*httpconn.Conn).Conn), nil
	})
}
