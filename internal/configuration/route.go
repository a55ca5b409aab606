package configuration

import (
	"cmp"
	"slices"
	"strings"

	"curranthold.example/curranthold/pkg/object"
)

// Route is the name and spec of a route object.
type Route struct {
	Name string
	Spec object.RouteSpec
	// totalWeight is the sum of the weights of the splits.
	totalWeight float64
}

func newRoute(name string, spec object.RouteSpec) *Route {
	r := &Route{Name: name, Spec: spec}
	for _, part := range spec.Splits {
		r.totalWeight += part.Weight
	}
	return r
}

// Service returns the service for one request. If the route splits its requests
// between services, fraction, in [0, 1), selects the split according to the weights.
func (r *Route) Service(fraction float64) string {
	point := fraction * r.totalWeight
	for _, part := range r.Spec.Splits {
		if point < part.Weight {
			return part.Service
		}
		point -= part.Weight
	}
	if n := len(r.Spec.Splits); n > 0 {
		return r.Spec.Splits[n-1].Service
	}
	return r.Spec.Service
}

// hostRoutes holds the routes for one host name, longest prefix first.
type hostRoutes []*Route

// match returns the route for the method with the longest prefix of the path.
func (h hostRoutes) match(method, path string) (*Route, bool) {
	for _, route := range h {
		if !strings.HasPrefix(path, route.Spec.PathPrefix) {
			continue
		}
		if route.Spec.Method == "" || route.Spec.Method == method {
			return route, true
		}
	}
	return nil, false
}

// addRoute adds a route to the snapshot that is being compiled.
func (s *Snapshot) addRoute(route *Route) {
	if route.Spec.Host == "" {
		s.routes.add(route)
		return
	}
	routes := append(s.byHost[route.Spec.Host], route)
	slices.SortStableFunc(routes, func(a, b *Route) int {
		return cmp.Or(
			cmp.Compare(len(b.Spec.PathPrefix), len(a.Spec.PathPrefix)),
			cmp.Compare(b.Spec.Method, a.Spec.Method),
		)
	})
	s.byHost[route.Spec.Host] = routes
}

// RouteByHost returns the route for a request to a host name. Routes that state
// this host take precedence over routes for every host. They match by the longest
// string prefix of the path as sent; the others match as in [Snapshot.Route], by
// the decoded path.
func (s *Snapshot) RouteByHost(host, method, sent, decoded string) (*Route, bool) {
	if routes := s.byHost[host]; routes != nil {
		if route, ok := routes.match(method, sent); ok {
			return route, true
		}
	}
	return s.Route(method, decoded)
}

// segment is a node in the tree of path prefixes, keyed by path segment.
type segment struct {
	children map[string]*segment
	byMethod map[string]*Route
	// anyMethod is the route for methods that are not in byMethod.
	anyMethod *Route
}

func (s *segment) add(route *Route) {
	at := s
	for name := range strings.SplitSeq(strings.Trim(route.Spec.PathPrefix, "/"), "/") {
		if name != "" {
			at = at.child(name)
		}
	}
	if route.Spec.Method == "" {
		at.anyMethod = route
		return
	}
	if at.byMethod == nil {
		at.byMethod = map[string]*Route{}
	}
	at.byMethod[route.Spec.Method] = route
}

func (s *segment) child(name string) *segment {
	if s.children == nil {
		s.children = map[string]*segment{}
	}
	next, ok := s.children[name]
	if !ok {
		next = &segment{}
		s.children[name] = next
	}
	return next
}

func (s *segment) routeFor(method string) *Route {
	if route, ok := s.byMethod[method]; ok {
		return route
	}
	return s.anyMethod
}

// Route returns the route for a request: among the routes that accept the method,
// the one with the longest path prefix, compared by whole segments. With equal
// prefixes, a route for just this method takes precedence over one for every method.
//
// The path must be decoded and have no query. A path with an empty segment or a
// dot segment has no route, since a backend server may interpret it as a different
// path. A single trailing slash is allowed.
func (s *Snapshot) Route(method, path string) (*Route, bool) {
	if path == "" || path[0] != '/' {
		return nil, false
	}
	at := &s.routes
	best := at.routeFor(method)
	rest := path[1:]
	for rest != "" {
		var name string
		name, rest, _ = strings.Cut(rest, "/")
		if name == "" || name == "." || name == ".." {
			return nil, false
		}
		if at != nil {
			at = at.children[name]
		}
		if at == nil {
			continue
		}
		if route := at.routeFor(method); route != nil {
			best = route
		}
	}
	return best, best != nil
}
