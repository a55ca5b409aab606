package node

import (
	"net/http"

	"curranthold.example/curranthold/internal/pipeline"
)

const (
	// pipelinedBytes bounds the memory of the requests that are read ahead on all
	// connections if the node has no memory limit.
	pipelinedBytes = 16 << 20
	// pipelinedDivisor divides the memory limit, to get that bound otherwise.
	pipelinedDivisor = 16
)

// serveCallers starts the HTTP server for callers. It reads their pipelined requests ahead if
// the settings say so.
func (n *Node) serveCallers(handler http.Handler) *http.Server {
	limits := n.settings.Limits
	if limits.PipelinedRequests == 0 {
		return n.serve(n.listeners.caller, handler, callerConnections)
	}
	total := int64(pipelinedBytes)
	if limits.MemoryBytes > 0 {
		total = int64(limits.MemoryBytes / pipelinedDivisor)
	}
	n.pipelined = pipeline.NewListener(n.limit(n.listeners.caller, callerConnections), pipeline.Config{
		Requests: limits.PipelinedRequests, BufferBytes: maxHeaderBytes, TotalBytes: total,
	})
	server := newServer(handler)
	n.pipelined.Configure(server)
	n.start(server, n.pipelined)
	return server
}
