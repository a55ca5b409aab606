package node

import (
	"context"
	"errors"
	"net/http"
	"time"

	"curranthold.example/curranthold/internal/event"
)

const (
	// refusalPeriod is how long, at least, a leaving node refuses calls before it closes
	// the caller listener.
	refusalPeriod = 500 * time.Millisecond
	// nestedTimeDivisor divides the shutdown time, to get the time for which a leaving
	// node serves nested calls. Later ones might not end before the node does.
	nestedTimeDivisor = 2
	// closeTimeout bounds the graceful shutdown of the HTTP servers, which wait for
	// their connections to become idle.
	closeTimeout = 300 * time.Millisecond
)

// leave announces to the other nodes that this node is leaving, serves calls for
// the notice period, then refuses new calls and waits for the running ones. The caller
// listener stays open until the backend server's calls have ended, since these may have
// nested calls. callers is nil if the caller listener was not served yet.
func (n *Node) leave(callers *http.Server, calls *drainHandler) {
	eventLeaving.Log(event.Fields{"host": n.settings.Host})
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.ShutdownTimeout())
	defer cancel()
	calls.setState(drainServing)
	n.entry.Leave(time.Now().Add(n.settings.ShutdownTimeout() / nestedTimeDivisor))
	n.members.Leave(ctx)
	sleep(ctx, n.settings.LeaveNoticePeriod())
	n.admission.Drain()
	calls.setState(drainRefusing)
	sleep(ctx, refusalPeriod)
	select {
	case <-n.admission.Idle():
	case <-ctx.Done():
		eventShutdownCutShort.Log(event.Fields{"error": "calls were still running"})
	}
	if callers == nil {
		return
	}
	n.listeners.caller.drainBacklog()
	if err := callers.Shutdown(ctx); err != nil {
		eventShutdownCutShort.Log(event.Fields{"error": err.Error()})
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// shutDown stops all components. A component that others depend on is stopped after
// them.
func (n *Node) shutDown(stop context.CancelFunc) error {
	n.owner.CancelCalls()
	var errs []error
	if n.adapter.external() {
		_ = n.tally.Close()
	} else {
		// Close logs a failure to return tokens and fractions, which other hosts
		// reclaim later.
		_ = n.quota.Close()
		errs = append(errs, n.claims.Close())
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, server := range n.servers {
		if server.Shutdown(ctx) != nil {
			errs = append(errs, server.Close())
		}
	}
	if n.pipelined != nil {
		n.pipelined.Wait()
	}
	stop()
	errs = append(errs, n.closeComponents())
	n.wg.Wait()
	eventStopped.Log(event.Fields{"host": n.settings.Host})
	return errors.Join(errs...)
}

// closeComponents closes the listeners and the components, except for the owner,
// quota, claims and tally, which shutDown stops.
func (n *Node) closeComponents() error {
	var errs []error
	if n.entry != nil {
		errs = append(errs, n.entry.Close())
	}
	n.admission.Close()
	errs = append(errs,
		n.configuration.Close(),
		n.members.Close(),
		n.peers.Close(),
		n.pool.Close(),
		n.listeners.close(),
		n.platform.Close(),
	)
	return errors.Join(errs...)
}
