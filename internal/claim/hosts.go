package claim

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Host describes a live host.
type Host struct {
	ID, Zone, Address string
}

// hostRoles holds the aggregators and the sweeper. It is derived from the live hosts
// and immutable.
type hostRoles struct {
	// aggregators holds the aggregator of each partition of this availability zone's
	// claims. A host may be the aggregator of several. The request hash selects the
	// partition.
	aggregators []Host
	// sweeper is the ID of the one host in all availability zones that deletes old
	// rows.
	sweeper string
}

// SetHosts sets the live hosts of all availability zones, this host included.
// At most one arrival holds a claim even if hosts have different lists, because the
// table decides on claims.
func (c *Claimer) SetHosts(hosts []Host) {
	local := slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return h.Zone != c.config.Zone })
	roles := &hostRoles{sweeper: rendezvous(hosts, "sweep").ID}
	if len(local) > 0 {
		for partition := range c.config.Aggregators {
			roles.aggregators = append(roles.aggregators, rendezvous(local, fmt.Sprint("claim ", partition)))
		}
	}
	c.hostRoles.Store(roles)
}

// rendezvous returns the host that rendezvous hashing selects for the name, or the
// zero Host if there are no hosts.
func rendezvous(hosts []Host, name string) Host {
	var best Host
	var highest uint64
	for _, h := range hosts {
		sum := xxhash.Sum64String(name + "\x00" + h.ID)
		if best.ID == "" || sum > highest {
			best, highest = h, sum
		}
	}
	return best
}

// aggregator returns the host that writes the claims of the request with the hash, and
// whether it is another host than this one.
func (c *Claimer) aggregator(hash string) (Host, bool) {
	roles := c.hostRoles.Load()
	if roles == nil || len(roles.aggregators) == 0 {
		return Host{}, false
	}
	host := roles.aggregators[xxhash.Sum64String(hash)%uint64(len(roles.aggregators))]
	return host, host.ID != c.config.Host
}
