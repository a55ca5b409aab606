package treeadmit

import (
	"sync"
	"sync/atomic"
	"time"
)

// Beneath holds the levels of the services that the nested calls of each route use, at
// the owner of the parents. The zero value is ready to use. Its methods may be called
// concurrently.
type Beneath struct {
	// count is the number of levels that are not open. While it is 0, calls need not
	// take the lock.
	count  atomic.Int64
	mu     sync.Mutex
	routes map[string]map[string]*level
}

// Report records the level that came with the answer to a nested call to the service,
// whose parent is a call on the route.
func (b *Beneath) Report(route, service string, closed float64, now time.Time) {
	if closed == 0 && b.count.Load() == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.routes[route][service]
	if l == nil {
		if closed == 0 || b.count.Load() >= maxTracked {
			return
		}
		l = b.add(route, service)
	}
	l.report(closed, now)
	if l.negligible(now) {
		b.remove(route, service)
	}
}

func (b *Beneath) add(route, service string) *level {
	if b.routes == nil {
		b.routes = make(map[string]map[string]*level)
	}
	if b.routes[route] == nil {
		b.routes[route] = make(map[string]*level)
	}
	l := new(level)
	b.routes[route][service] = l
	b.count.Add(1)
	return l
}

func (b *Beneath) remove(route, service string) {
	delete(b.routes[route], service)
	if len(b.routes[route]) == 0 {
		delete(b.routes, route)
	}
	b.count.Add(-1)
}

// Closed returns the highest level of the services that nested calls on the route use.
func (b *Beneath) Closed(route string, now time.Time) float64 {
	if b.count.Load() == 0 {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	highest := 0.0
	for service, l := range b.routes[route] {
		if l.negligible(now) {
			b.remove(route, service)
			continue
		}
		highest = max(highest, l.value(now))
	}
	return highest
}
