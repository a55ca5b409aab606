package configuration

import (
	"cmp"
	"slices"
	"strings"

	"curranthold.example/curranthold/pkg/object"
)

// Route is a route with its name.
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

// Service returns the service of one request. Where the route splits its
// requests, fraction, in [0, 1), says which part this one belongs to.
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

// hostRoutes are the routes of one host, the longest prefix first.
type hostRoutes []*Route

// match returns the route with the longest prefix of the path.
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

// RouteByHost returns the route of a request to a host. A route that states this
// host goes before one for every host; it has the longest prefix that begins the
// path as it was sent.
func (s *Snapshot) RouteByHost(host, method, sent, decoded string) (*Route, bool) {
	if routes := s.byHost[host]; routes != nil {
		if route, ok := routes.match(method, sent); ok {
			return route, true
		}
	}
	return s.Route(method, decoded)
}

// segment is a node of the tree of path prefixes.
type segment struct {
	children map[string]*segment
	byMethod map[string]*Route
	// anyMethod matches the methods that byMethod lacks.
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

func (s *segment) match(method string) *Route {
	if route, ok := s.byMethod[method]; ok {
		return route
	}
	return s.anyMethod
}

// Route returns the route of a request: that with the longest path prefix, on
// whole segments, that has the method; at equal prefixes a route for just this
// method goes before one for every method.
//
// The path is the decoded one, without query. A path with an empty segment or
// a dot segment has no route, since a backend server may take it for another
// path. One slash may end it.
func (s *Snapshot) Route(method, path string) (*Route, bool) {
	if path == "" || path[0] != '/' {
		return nil, false
	}
	at := &s.routes
	best := at.match(method)
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
		if route := at.match(method); route != nil {
			best = route
		}
	}
	return best, best != nil
}
