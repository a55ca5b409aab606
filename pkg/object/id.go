package object

// ID identifies an object by its kind and its name.
type ID struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns the identifier in the form KIND/NAME.
func (id ID) String() string { return string(id.Kind) + "/" + id.Name }

// Less orders identifiers by kind, then by name.
func (id ID) Less(other ID) bool {
	if id.Kind != other.Kind {
		return id.Kind < other.Kind
	}
	return id.Name < other.Name
}

// Kinds returns all kinds of objects in alphabetical order.
func Kinds() []Kind {
	return []Kind{KindAvailabilityZone, KindClientAccount, KindKey, KindRollout, KindRoute, KindService}
}

// Valid reports whether k is a known kind.
func (k Kind) Valid() bool {
	_, ok := specDecoders[k]
	return ok
}
