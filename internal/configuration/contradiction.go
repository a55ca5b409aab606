package configuration

import (
	"fmt"

	"curranthold.example/curranthold/pkg/object"
)

// contradictions returns the objects with a reference to an undeclared object, and
// the routes with the same host, method and prefix as another route, in the order of
// ids.
func contradictions(objects map[object.ID]object.Object, ids []object.ID) object.ItemErrors {
	var found object.ItemErrors
	routeNames := map[routeKey]string{}
	for _, id := range ids {
		var err object.FieldError
		switch spec := objects[id].Spec.(type) {
		case object.KeySpec:
			err = requireDeclared(objects, object.KindClientAccount, spec.ClientAccount, "spec.client-account")
		case object.RolloutSpec:
			err = requireDeclared(objects, object.KindService, id.Name, "name")
		case object.RouteSpec:
			err = requireDeclared(objects, object.KindService, spec.Service, "spec.service")
			key := routeKey{host: spec.Host, method: spec.Method, prefix: spec.PathPrefix}
			if other, duplicate := routeNames[key]; duplicate {
				err = duplicateRouteError(spec, other)
			}
			routeNames[key] = id.Name
		}
		if err.Message != "" {
			found = append(found, object.ItemError{ID: id, FieldError: err})
		}
	}
	return found
}

type routeKey struct{ host, method, prefix string }

// requireDeclared returns an error for the field if the named object is missing.
func requireDeclared(objects map[object.ID]object.Object, kind object.Kind, name, field string) object.FieldError {
	if _, ok := objects[object.ID{Kind: kind, Name: name}]; ok {
		return object.FieldError{}
	}
	return object.FieldError{
		Field:   field,
		Message: fmt.Sprintf("it needs the %s %q, which is not declared", kind, name),
		Hint:    fmt.Sprintf("declare the %s in the same operation or before; delete what needs it in the same operation or before", kind),
	}
}

func duplicateRouteError(spec object.RouteSpec, other string) object.FieldError {
	method := spec.Method
	if method == "" {
		method = "every method"
	}
	return object.FieldError{
		Field:   "spec.path-prefix",
		Message: fmt.Sprintf("the route %q has the same prefix %s for %s", other, spec.PathPrefix, method),
		Hint:    "change the prefix or the method, or delete the other route",
	}
}

// removesLastZone reports whether a change leaves no availability zone in service
// although one was in service before.
func removesLastZone(before, after map[object.ID]object.Object) bool {
	return zonesInService(before) > 0 && zonesInService(after) == 0
}

func zonesInService(objects map[object.ID]object.Object) int {
	n := 0
	for _, o := range objects {
		if spec, ok := o.Spec.(object.AvailabilityZoneSpec); ok && spec.InService {
			n++
		}
	}
	return n
}
