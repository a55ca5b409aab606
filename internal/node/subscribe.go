package node

import (
	"curranthold.example/curranthold/internal/balance"
	"curranthold.example/curranthold/internal/claim"
	"curranthold.example/curranthold/internal/configuration"
	"curranthold.example/curranthold/internal/membership"
	"curranthold.example/curranthold/internal/quota"
	"curranthold.example/curranthold/pkg/object"
)

// subscribe registers the callbacks for changes of the members and the
// configuration.
func (n *Node) subscribe() {
	n.members.Subscribe(n.applyMembers)
	n.configuration.Subscribe(n.applyConfiguration)
}

// applyMembers passes the live members to the components that use them. It skips
// components for which nothing relevant has changed.
func (n *Node) applyMembers(members []membership.Member) {
	diff := n.memberSnapshot.update(members)
	if diff.hosts {
		n.applyHosts(members)
	}
	if diff.backends {
		n.applyVersions(members)
		n.applyBackends(members)
	}
}

// applyHosts passes the hosts to the components that exchange messages with them.
func (n *Node) applyHosts(members []membership.Member) {
	var (
		configurationHosts []configuration.Host
		quotaHosts         []quota.Host
		claimHosts         []claim.Host
	)
	for _, m := range members {
		configurationHosts = append(configurationHosts, configuration.Host{ID: m.ID, Zone: m.Zone, Address: m.Address})
		if !m.Leaving || m.ID == n.settings.Host {
			quotaHosts = append(quotaHosts, quota.Host{ID: m.ID, Zone: m.Zone, Address: m.Address})
			claimHosts = append(claimHosts, claim.Host{ID: m.ID, Zone: m.Zone, Address: m.Address})
		}
	}
	n.configuration.SetHosts(configurationHosts)
	present := make(map[string]bool, len(members))
	for _, m := range members {
		present[m.ID] = true
	}
	n.entry.SetHosts(present)
	n.trackLeaving(members, present)
	if n.adapter.external() {
		n.tally.SetHosts(quotaHosts, n.leaving)
		n.applyRetryBurst(len(members))
		return
	}
	n.quota.SetHosts(quotaHosts)
	n.claims.SetHosts(claimHosts)
}

// applyBackends passes the hosts that have a backend server to the balancer.
func (n *Node) applyBackends(members []membership.Member) {
	byService := make(map[string][]balance.Host)
	for _, m := range members {
		if m.Service == "" {
			continue
		}
		byService[m.Service] = append(byService[m.Service], balance.Host{
			ID: m.ID, Zone: m.Zone, Address: m.Address, Slots: m.Slots,
			Leaving: m.Leaving, Cold: m.Cold, Version: m.BackendVersion, Candidate: m.Candidate,
		})
	}
	n.balancer.SetHosts(byService)
}

// trackLeaving records which hosts have announced that they are leaving. Once such
// a host is gone, trackLeaving removes it from the configuration's surveys.
func (n *Node) trackLeaving(members []membership.Member, present map[string]bool) {
	for _, m := range members {
		if m.Leaving {
			n.leaving[m.ID] = true
		} else {
			delete(n.leaving, m.ID)
		}
	}
	for id := range n.leaving {
		if !present[id] {
			n.configuration.ForgetHost(id)
			delete(n.leaving, id)
		}
	}
}

// applyConfiguration passes a new configuration to the components that depend on
// it.
func (n *Node) applyConfiguration(s *configuration.Snapshot) {
	n.applyStoreEra(configuration.Era(s.Generation()))
	n.applyAccountLimits(s)
	n.applyOrders(s)
	inService := make(map[string]bool)
	for name, spec := range s.Zones() {
		inService[name] = spec.InService
	}
	n.balancer.SetZones(inService)
	n.balancer.SetSpread(n.spreadServices(s))
	own, declared := s.Zone(n.settings.AvailabilityZone)
	n.admission.SetZoneInService(!declared || own.InService)
	n.owner.CancelWithdrawn()
	if s.Generation() > 0 {
		n.applyPendingHeartbeat()
	}
}

// spreadServices returns the services whose calls are spread over all hosts. A server with
// a cold rate is limited by that rate while it is cold, which the estimate of its headroom
// does not cover.
func (n *Node) spreadServices(s *configuration.Snapshot) map[string]bool {
	if !n.settings.Limits.EvenLoad {
		return nil
	}
	spread := make(map[string]bool)
	for name, spec := range s.Services() {
		spread[name] = spec.ColdRate == 0
	}
	return spread
}

// applyStoreEra renews this host's row in the directory if the platform's store has come
// back from an older copy, which may lack the row.
func (n *Node) applyStoreEra(era uint64) {
	if era <= n.storeEra {
		return
	}
	n.storeEra = era
	n.members.RenewDirectoryRow()
}

// applyAccountLimits passes the limits of the client accounts to the component
// that enforces them.
func (n *Node) applyAccountLimits(s *configuration.Snapshot) {
	rateFactor := 1.0
	if n.adapter.external() {
		rateFactor += float64(n.settings.Limits.QuotaOveragePercent) / 100 / overageDivisor
	}
	limits := make(map[string]quota.Limit, len(s.Accounts()))
	for name, spec := range s.Accounts() {
		limits[name] = quota.Limit{Rate: spec.Rate * rateFactor, Burst: spec.Burst}
	}
	if n.adapter.external() {
		n.tally.SetAccounts(limits)
		return
	}
	n.quota.SetAccounts(limits)
}

// isKeyWithdrawn reports whether this node knows that the key was withdrawn.
func (n *Node) isKeyWithdrawn(name string) bool {
	found, ok := n.configuration.Snapshot().Object(object.ID{Kind: object.KindKey, Name: name})
	if !ok {
		return false
	}
	spec, ok := found.Spec.(object.KeySpec)
	return ok && spec.Withdrawn
}
