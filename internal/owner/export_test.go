package owner

import "net/http"

// Transport returns the transport of the connections to the backend server that is announced.
func (o *Owner) Transport() *http.Transport { return o.current().transport }
