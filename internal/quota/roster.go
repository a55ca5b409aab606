package quota

import (
	"encoding/json"
	"maps"
	"math"
	"slices"
	"sort"
	"time"
)

const (
	rosterPrefix = "quota/roster/"
	zonesKey     = "quota/zones"
	// targetVoters is the number of hosts of a zone that are to confirm its
	// roster while the table can't be read.
	targetVoters = 7
	// minRelativeStep is the smallest change of a fraction that is worth a write,
	// relative to the target.
	minRelativeStep = 0.02
	// maxRelativeCut is the largest part of a live host's fraction that is
	// withdrawn at once, because nobody can use the withdrawn part until it is
	// reclaimed.
	maxRelativeCut = 0.04
	// roundingMargin keeps sums of fractions below their bound despite rounding.
	roundingMargin = 1e-12
)

// roster is the row of one availability zone.
type roster struct {
	Hosts map[string]rosterEntry `json:"hosts"`
	// Voters confirm the roster while the table can't be read. They are added and
	// removed one at a time.
	Voters []string `json:"voters"`
	// VotersChanged is the row version that last changed Voters. Settled reports
	// whether a majority of them is known to have received that version.
	VotersChanged uint64 `json:"voters-changed"`
	Settled       bool   `json:"settled"`
}

// rosterEntry holds the fraction of one host, which has no expiry time and stays
// until the zone's leader changes it.
type rosterEntry struct {
	// Fraction is what the host may use once it knows this row.
	Fraction float64 `json:"fraction"`
	// Held is what the host may still be using; it is at least Fraction.
	Held float64 `json:"held"`
	// Changed is the row version that last lowered Fraction.
	Changed uint64 `json:"changed,omitempty"`
}

// zoneShares has the share of each availability zone. The shares sum to at most
// 1, and a zone's hosts together hold at most its share.
type zoneShares struct {
	Shares map[string]float64 `json:"shares"`
}

func decodeRoster(value []byte) (*roster, error) {
	r := &roster{}
	if len(value) == 0 {
		return r, nil
	}
	if err := json.Unmarshal(value, r); err != nil {
		return nil, err
	}
	return r, nil
}

func decodeZones(value []byte) (*zoneShares, error) {
	z := &zoneShares{}
	if len(value) == 0 {
		return z, nil
	}
	if err := json.Unmarshal(value, z); err != nil {
		return nil, err
	}
	return z, nil
}

func (r *roster) clone() *roster {
	c := *r
	c.Hosts = maps.Clone(r.Hosts)
	if c.Hosts == nil {
		c.Hosts = make(map[string]rosterEntry)
	}
	c.Voters = slices.Clone(r.Voters)
	return &c
}

// heldTotal returns the sum of the fractions that the zone's hosts may be using.
func (r *roster) heldTotal() float64 {
	sum := 0.0
	for _, id := range r.hostIDs() {
		sum += r.Hosts[id].Held
	}
	return sum
}

func (r *roster) grantedTotal() float64 {
	sum := 0.0
	for _, id := range r.hostIDs() {
		sum += r.Hosts[id].Fraction
	}
	return sum
}

// hostIDs returns the hosts in sorted order, so that sums and plans are
// deterministic.
func (r *roster) hostIDs() []string {
	return slices.Sorted(maps.Keys(r.Hosts))
}

func (z *zoneShares) sum() float64 {
	total := 0.0
	for _, name := range slices.Sorted(maps.Keys(z.Shares)) {
		total += z.Shares[name]
	}
	return total
}

// majority returns the smallest number of voters that is more than half.
func (r *roster) majority() int { return len(r.Voters)/2 + 1 }

// majorityQuerySentAt returns the latest time t such that more than half of the
// voters answered a query sent at t or later; answeredQuerySentAt has the send
// time of the latest answered query to each host.
func (r *roster) majorityQuerySentAt(answeredQuerySentAt map[string]time.Time) time.Time {
	times := make([]time.Time, 0, len(r.Voters))
	for _, id := range r.Voters {
		times = append(times, answeredQuerySentAt[id])
	}
	if len(times) == 0 {
		return time.Time{}
	}
	sort.Slice(times, func(i, j int) bool { return times[i].After(times[j]) })
	return times[r.majority()-1]
}

// withdrawalAcked reports whether the host itself knows that its fraction was
// lowered, or so many other voters know that the host can't find a majority that
// confirms an older row.
func (r *roster) withdrawalAcked(host string, knownVersions map[string]uint64) bool {
	changed := r.Hosts[host].Changed
	if knownVersions[host] >= changed {
		return true
	}
	if !r.Settled {
		return false
	}
	count := 0
	for _, id := range r.Voters {
		if id != host && knownVersions[id] >= changed {
			count++
		}
	}
	return 2*count >= len(r.Voters) && count > 0
}

// votersChangeKnown reports whether a majority of the voters knows of the last
// change of voters.
func (r *roster) votersChangeKnown(knownVersions map[string]uint64) bool {
	count := 0
	for _, id := range r.Voters {
		if knownVersions[id] >= r.VotersChanged {
			count++
		}
	}
	return count >= r.majority()
}

// planInput is the state from which plan computes the next rows.
type planInput struct {
	zone    string
	version uint64
	roster  *roster
	shares  *zoneShares
	// zoneCount is the number of zones that have live hosts.
	zoneCount int
	// live are the zone's live hosts. dead reports whether a host has been
	// missing for too long.
	live []string
	dead func(host string) bool
	// knownVersions is the highest row version that each host is known to have.
	knownVersions map[string]uint64
	// reclaimed reports whether a withdrawn fraction is certainly no longer in
	// use.
	reclaimed func(host string, changed uint64) bool
}

// plan returns the next versions of the rows; nil means no change.
func plan(in *planInput) (*roster, *zoneShares) {
	r := in.roster.clone()
	in.addHosts(r)
	in.reclaim(r)
	in.updateVoters(r)
	shares := in.updateShares(r)
	in.reduceFractions(r, shares)
	in.raiseFractions(r, shares)
	if equalRosters(r, in.roster) && in.version != 0 {
		r = nil
	}
	if maps.Equal(shares.Shares, in.shares.Shares) {
		shares = nil
	}
	return r, shares
}

func equalRosters(a, b *roster) bool {
	return maps.Equal(a.Hosts, b.Hosts) && slices.Equal(a.Voters, b.Voters) &&
		a.VotersChanged == b.VotersChanged && a.Settled == b.Settled
}

// addHosts adds live hosts without an entry, with fraction 0.
func (in *planInput) addHosts(r *roster) {
	for _, id := range in.live {
		if _, ok := r.Hosts[id]; !ok {
			r.Hosts[id] = rosterEntry{}
		}
	}
}

// reclaim frees withdrawn fractions that are certainly no longer in use, and
// removes dead hosts that hold nothing. A dead voter stays until removeVoter
// removes it.
func (in *planInput) reclaim(r *roster) {
	for _, id := range r.hostIDs() {
		e := r.Hosts[id]
		if e.Held > e.Fraction && in.reclaimed(id, e.Changed) {
			e.Held = e.Fraction
			r.Hosts[id] = e
		}
		if e.Held == 0 && in.dead(id) && !slices.Contains(r.Voters, id) {
			delete(r.Hosts, id)
		}
	}
}

// updateVoters marks the last change of voters as settled, or makes the next one.
func (in *planInput) updateVoters(r *roster) {
	if len(r.Voters) > 0 && !r.Settled {
		r.Settled = r.votersChangeKnown(in.knownVersions)
		return
	}
	changed := in.removeVoter(r) || in.addVoter(r)
	if changed {
		r.VotersChanged = in.version + 1
		r.Settled = false
	}
}

func (in *planInput) removeVoter(r *roster) bool {
	for i, id := range r.Voters {
		if len(r.Voters) > 1 && in.dead(id) && r.Hosts[id].Held == 0 {
			r.Voters = slices.Delete(r.Voters, i, i+1)
			return true
		}
	}
	return false
}

func (in *planInput) addVoter(r *roster) bool {
	if len(r.Voters) >= targetVoters {
		return false
	}
	for _, id := range in.live {
		if !slices.Contains(r.Voters, id) {
			r.Voters = append(r.Voters, id)
			return true
		}
	}
	return false
}

// updateShares returns the zones' shares with that of this zone adjusted. If
// another zone has too little, a zone above its equal share gives up what its
// hosts don't hold. A zone below its equal share takes what is free.
func (in *planInput) updateShares(r *roster) *zoneShares {
	next := &zoneShares{Shares: maps.Clone(in.shares.Shares)}
	if next.Shares == nil {
		next.Shares = make(map[string]float64)
	}
	ownShare, known := next.Shares[in.zone]
	if !known {
		next.Shares[in.zone] = 0
	}
	equalShare := in.equalShare(next)
	free := 1 - roundingMargin - next.sum()
	switch {
	case ownShare > equalShare && in.otherZoneShort(next, equalShare):
		ownShare = max(equalShare, min(ownShare, r.heldTotal()+roundingMargin))
	case equalShare-ownShare > minRelativeStep*equalShare && free > minRelativeStep*equalShare:
		ownShare = min(equalShare, ownShare+free)
	}
	next.Shares[in.zone] = ownShare
	return next
}

// equalShare returns the share that each zone should have, counting zones that
// are yet to join.
func (in *planInput) equalShare(shares *zoneShares) float64 {
	return 1 / float64(max(in.zoneCount, len(shares.Shares)))
}

// otherZoneShort reports whether another zone has less than its equal share.
func (in *planInput) otherZoneShort(shares *zoneShares, equalShare float64) bool {
	for zone, share := range shares.Shares {
		if zone != in.zone && equalShare-share > minRelativeStep*equalShare {
			return true
		}
	}
	return false
}

// targetFraction returns the fraction that each live host should have.
func (in *planInput) targetFraction(shares *zoneShares) float64 {
	zoneShare := shares.Shares[in.zone]
	equalShare := in.equalShare(shares)
	if zoneShare > equalShare && in.otherZoneShort(shares, equalShare) {
		zoneShare = equalShare
	}
	return max(0, zoneShare-roundingMargin) / float64(max(1, len(in.live)))
}

// reduceFractions sets the fraction of dead hosts to 0. If the zone grants too
// much in total, or a live host has less than half the target, it also lowers the
// fractions above the target towards it.
func (in *planInput) reduceFractions(r *roster, shares *zoneShares) {
	targetFraction := in.targetFraction(shares)
	mustReduce := r.grantedTotal() > targetFraction*float64(len(in.live))*(1+minRelativeStep)
	for _, id := range in.live {
		e := r.Hosts[id]
		mustReduce = mustReduce || e.Fraction < targetFraction/2
	}
	for _, id := range r.hostIDs() {
		e := r.Hosts[id]
		switch {
		case in.dead(id) && e.Fraction > 0:
			e.Fraction = 0
		case mustReduce && e.Fraction > targetFraction*(1+minRelativeStep) && e.Held == e.Fraction:
			e.Fraction = max(targetFraction, e.Fraction*(1-maxRelativeCut))
		default:
			continue
		}
		e.Changed = in.version + 1
		r.Hosts[id] = e
	}
}

// raiseFractions raises the fractions below the target from the part of the
// zone's share that no host holds.
func (in *planInput) raiseFractions(r *roster, shares *zoneShares) {
	targetFraction := in.targetFraction(shares)
	free := shares.Shares[in.zone] - roundingMargin - r.heldTotal()
	for _, id := range in.live {
		e := r.Hosts[id]
		step := math.Min(targetFraction-e.Fraction, free+e.Held-e.Fraction)
		if step < minRelativeStep*targetFraction {
			continue
		}
		free -= max(0, e.Fraction+step-e.Held)
		e.Fraction += step
		e.Held = max(e.Held, e.Fraction)
		r.Hosts[id] = e
	}
}
