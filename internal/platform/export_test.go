package platform

import "net/http"

// Transport returns the transport of the service's connections.
func (s *CustomService) Transport() *http.Transport { return s.transport }
