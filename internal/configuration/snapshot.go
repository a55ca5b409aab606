// Package configuration distributes the objects that operators declare to every
// node and compiles them into snapshots for fast lookup by requests.
//
// The platform's table is authoritative: it has one row for each object, and a head
// row whose version is the generation of the configuration. A [Replica] follows the
// head row, directly or through its peers, and publishes immutable snapshots. It
// never publishes a lower generation than one it has published before.
// docs/design/configuration.md gives the reasons for this design.
package configuration

import (
	"fmt"
	"slices"

	"curranthold.example/curranthold/internal/key"
	"curranthold.example/curranthold/pkg/object"
	"curranthold.example/curranthold/pkg/verdict"
)

// Snapshot is the configuration of one generation. It is immutable. Route, key and
// zone lookups do not allocate, and their cost does not depend on the number of
// objects. The zero Snapshot is the empty configuration of generation 0.
type Snapshot struct {
	generation uint64
	// revision is the operators' own number of the configuration, 0 if unknown. It stays
	// the same when a source comes back from an older copy.
	revision uint64
	objects  map[object.ID]object.Object
	accounts map[string]object.ClientAccountSpec
	services map[string]object.ServiceSpec
	zones    map[string]object.AvailabilityZoneSpec
	// rollouts holds the orders of rollouts, nil if there are none.
	rollouts []object.Object
	keys     map[string]*keyEntry
	// digests maps the digest of each client key that was generated outside this
	// system, so that only its digest is known, to its client account.
	digests map[string]string
	routes  segment
	// byHost holds the routes that state a host, by host name.
	byHost map[string]hostRoutes
}

type keyEntry struct {
	verifier  key.Verifier
	account   string
	withdrawn bool
}

// unknownKey matches no key. It is checked in place of a missing key, so that an
// unknown key takes as much time to refuse as a wrong one.
var unknownKey keyEntry

// compile returns a snapshot of the given objects and takes ownership of the map.
// Key entries that have not changed are reused from the previous snapshot.
func compile(generation uint64, objects map[object.ID]object.Object, before *Snapshot) (*Snapshot, error) {
	s := &Snapshot{
		generation: generation,
		objects:    objects,
		accounts:   make(map[string]object.ClientAccountSpec, len(before.accounts)),
		services:   make(map[string]object.ServiceSpec, len(before.services)),
		zones:      make(map[string]object.AvailabilityZoneSpec, len(before.zones)),
		keys:       make(map[string]*keyEntry, len(before.keys)),
		digests:    make(map[string]string, len(before.digests)),
		byHost:     make(map[string]hostRoutes, len(before.byHost)),
	}
	for id, o := range objects {
		if err := s.add(o, before); err != nil {
			return nil, fmt.Errorf("configuration: %s: %w", id, err)
		}
	}
	return s, nil
}

func (s *Snapshot) add(o object.Object, before *Snapshot) error {
	switch spec := o.Spec.(type) {
	case object.ClientAccountSpec:
		s.accounts[o.Name] = spec
	case object.ServiceSpec:
		s.services[o.Name] = spec
	case object.AvailabilityZoneSpec:
		s.zones[o.Name] = spec
	case object.RolloutSpec:
		s.rollouts = append(s.rollouts, o)
	case object.RouteSpec:
		s.addRoute(newRoute(o.Name, spec))
	case object.KeySpec:
		if spec.Digest != "" {
			s.digests[spec.Digest] = spec.ClientAccount
			return nil
		}
		entry, err := before.keyEntry(o.ID(), spec)
		if err != nil {
			return err
		}
		s.keys[o.Name] = entry
	default:
		return fmt.Errorf("no such kind of object")
	}
	return nil
}

// keyEntry returns the snapshot's entry for a key object if its spec is unchanged,
// and otherwise a new entry.
func (s *Snapshot) keyEntry(id object.ID, spec object.KeySpec) (*keyEntry, error) {
	if s.objects[id].Spec == object.Spec(spec) {
		return s.keys[id.Name], nil
	}
	verifier, err := key.NewVerifier(spec)
	if err != nil {
		return nil, err
	}
	return &keyEntry{verifier: verifier, account: spec.ClientAccount, withdrawn: spec.Withdrawn}, nil
}

// Generation returns the generation of the configuration. In the table it
// increases by one with each accepted operation; a [Source] may skip numbers.
func (s *Snapshot) Generation() uint64 { return s.generation }

// isOlderThan reports whether operators declared s before other.
func (s *Snapshot) isOlderThan(other *Snapshot) bool {
	return s.revision != 0 && s.revision < other.revision
}

// withGeneration returns a copy of the snapshot with another generation.
func (s *Snapshot) withGeneration(generation uint64) *Snapshot {
	renumbered := *s
	renumbered.generation = generation
	return &renumbered
}

// Authenticate returns the client account of the client key that a caller presented.
// The error is a [verdict.Error] with verdict NotRun and code KeyMissing or
// KeyRefused; it does not say whether the key is unknown, wrong or withdrawn.
func (s *Snapshot) Authenticate(presented string) (account string, err error) {
	if presented == "" {
		return "", &verdict.Error{Verdict: verdict.NotRun, Code: verdict.KeyMissing, Message: "the request carries no key"}
	}
	p, err := key.Parse(presented)
	if err != nil {
		return s.authenticateDigest(presented)
	}
	entry, known := s.keys[p.Name()]
	if !known {
		entry = &unknownKey
	}
	matches := entry.verifier.Matches(&p)
	if !matches || entry.withdrawn {
		return "", errKeyRefused()
	}
	if _, declared := s.accounts[entry.account]; !declared {
		return "", errKeyRefused()
	}
	return entry.account, nil
}

// authenticateDigest returns the client account of a client key that was generated
// outside this system, so that only its digest is known.
func (s *Snapshot) authenticateDigest(presented string) (account string, err error) {
	if len(s.digests) == 0 {
		return "", errKeyRefused()
	}
	account, known := s.digests[key.Digest(presented)]
	if !known {
		return "", errKeyRefused()
	}
	if _, declared := s.accounts[account]; !declared {
		return "", errKeyRefused()
	}
	return account, nil
}

func errKeyRefused() error {
	return &verdict.Error{Verdict: verdict.NotRun, Code: verdict.KeyRefused, Message: "the key is not valid"}
}

// Accounts returns the client accounts by name. The map must not be changed.
func (s *Snapshot) Accounts() map[string]object.ClientAccountSpec { return s.accounts }

// Services returns the services by name. The map must not be changed.
func (s *Snapshot) Services() map[string]object.ServiceSpec { return s.services }

// Zone returns the availability zone with the given name.
func (s *Snapshot) Zone(name string) (object.AvailabilityZoneSpec, bool) {
	spec, ok := s.zones[name]
	return spec, ok
}

// Zones returns the availability zones by name. The map must not be changed.
func (s *Snapshot) Zones() map[string]object.AvailabilityZoneSpec { return s.zones }

// Rollouts returns the rollouts in no particular order. The slice must not be changed.
func (s *Snapshot) Rollouts() []object.Object { return s.rollouts }

// Object returns the object with the given identifier.
func (s *Snapshot) Object(id object.ID) (object.Object, bool) {
	o, ok := s.objects[id]
	return o, ok
}

// Objects returns the objects of a kind, sorted by name.
func (s *Snapshot) Objects(kind object.Kind) []object.Object {
	var found []object.Object
	for id, o := range s.objects {
		if id.Kind == kind {
			found = append(found, o)
		}
	}
	slices.SortFunc(found, func(a, b object.Object) int { return compareIDs(a.ID(), b.ID()) })
	return found
}

// Len returns the number of objects.
func (s *Snapshot) Len() int { return len(s.objects) }

// ids returns the sorted IDs of all objects.
func (s *Snapshot) ids() []object.ID {
	ids := make([]object.ID, 0, len(s.objects))
	for id := range s.objects {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, compareIDs)
	return ids
}

func compareIDs(a, b object.ID) int {
	switch {
	case a.Less(b):
		return -1
	case b.Less(a):
		return 1
	default:
		return 0
	}
}
