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

// hostRoles says which hosts do the work that is shared among hosts. It is derived
// from the live hosts and replaced as a whole.
type hostRoles struct {
	// aggregators are the hosts that write the claims of this availability zone.
	// The hash of a request selects one of them.
	aggregators []Host
	// sweeper is the ID of the one host in all availability zones that deletes old
	// rows.
	sweeper string
}

// SetHosts sets the live hosts of all availability zones, this host included.
// Claims stay exclusive even if hosts have different lists, because the table
// decides on them.
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

// aggregator returns the host that writes the claims of the request with the hashed
// key, and whether it is another host than this one.
func (c *Claimer) aggregator(key string) (Host, bool) {
	roles := c.hostRoles.Load()
	if roles == nil || len(roles.aggregators) == 0 {
		return Host{}, false
	}
	host := roles.aggregators[xxhash.Sum64String(key)%uint64(len(roles.aggregators))]
	return host, host.ID != c.config.Host
}
