package platform

import (
	"context"
	"net"

	"curranthold.example/curranthold/internal/httpconn"
)

// WrapConns makes wrap see all that passes the service's connections. It must be called
// before the first request.
func (s *CustomService) WrapConns(wrap func(net.Conn) net.Conn) {
	dial := s.transport.DialContext
	s.transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return httpconn.New(wrap(conn.(*httpconn.Conn).Conn)), nil
	}
}
