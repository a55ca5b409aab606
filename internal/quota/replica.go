package quota

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"curranthold.example/curranthold/internal/event"
	"curranthold.example/curranthold/internal/platform"
)

const (
	// pollerCount is how many hosts of a zone read the table themselves; the
	// others ask the first of them.
	pollerCount = 2
	// pollSpeedup is how many times as often the leader reads the table while a
	// change is in progress.
	pollSpeedup = 4
	// maxPushBytes is the size of the largest row that is pushed to hosts that
	// aren't voters; they fetch a larger one at their next poll.
	maxPushBytes = 8 << 10
	// leaderPartition is a partition number that no account has. Its home,
	// chosen among the zone's hosts, is the zone's leader, which changes the
	// roster.
	leaderPartition = partitionCount
)

// rosterReplica keeps a host's copy of its zone's roster up to date and, on the
// zone's leader, changes the roster. Two leaders at once are safe, since each
// change is a compare-and-set.
type rosterReplica struct {
	self   Host
	start  time.Time
	timing Timing

	live         []Host
	zoneCount    int
	missingSince map[string]time.Time

	// version, roster and encoded are the newest known row: its version, and its
	// value decoded and as stored.
	version uint64
	roster  *roster
	encoded []byte
	// tableReadAt is when the latest known read of the table was sent, by this
	// host or by one that it asked.
	tableReadAt time.Time
	// answeredQuerySentAt is when the latest answered query to each host was
	// sent, and knownVersions the row version that the host had.
	answeredQuerySentAt map[string]time.Time
	knownVersions       map[string]uint64
	withdrawals         map[string]withdrawal

	nextPoll time.Time
	leaving  bool
}

// withdrawal records the acknowledgements of the row version that lowered a
// host's fraction. hostAckedAt is when the leader learned that the host itself
// knows the version, and withdrawalAckedAt when it learned that the host or so
// many voters know it that no majority can confirm the old fraction.
type withdrawal struct {
	// changed is the row version that lowered the host's fraction.
	changed           uint64
	withdrawalAckedAt time.Time
	hostAckedAt       time.Time
}

func newRosterReplica(self Host, start time.Time, timing Timing) *rosterReplica {
	return &rosterReplica{
		self:                self,
		start:               start,
		timing:              timing,
		missingSince:        make(map[string]time.Time),
		roster:              &roster{},
		answeredQuerySentAt: make(map[string]time.Time),
		knownVersions:       make(map[string]uint64),
		withdrawals:         make(map[string]withdrawal),
	}
}

func (r *rosterReplica) rowKey() string { return rosterPrefix + r.self.Zone }

// setHosts sets the zone's live hosts and the number of zones.
func (r *rosterReplica) setHosts(hosts []Host) {
	r.live = r.live[:0:0]
	zones := make(map[string]bool)
	for _, h := range hosts {
		zones[h.Zone] = true
		if h.Zone == r.self.Zone {
			r.live = append(r.live, h)
		}
	}
	r.zoneCount = len(zones)
}

// fraction returns the fraction that the newest known row grants this host.
func (r *rosterReplica) fraction() float64 { return r.roster.Hosts[r.self.ID].Fraction }

// initialized reports whether the host knows of a read of the table since its
// start. Until then it neither answers queries nor uses its fraction, because an
// earlier incarnation may have acknowledged a newer row than it knows now.
func (r *rosterReplica) initialized() bool { return r.tableReadAt.After(r.start) }

// confirmedAt returns the latest time at which the roster is known to have
// granted the fraction: when the latest read of the table was sent, or the
// queries that more than half of the voters answered, whichever is later. It
// first records this host's own answer as of now, since the host may be a voter.
func (r *rosterReplica) confirmedAt(now time.Time) time.Time {
	if !r.initialized() {
		return time.Time{}
	}
	r.answeredQuerySentAt[r.self.ID] = now
	r.knownVersions[r.self.ID] = r.version
	return later(r.tableReadAt, r.roster.majorityQuerySentAt(r.answeredQuerySentAt))
}

// tick returns the calls that are due.
func (r *rosterReplica) tick(now time.Time) []*call {
	if now.Before(r.nextPoll) {
		return nil
	}
	r.nextPoll = now.Add(r.timing.PollInterval)
	r.updateMissing(now)
	if len(r.missingSince) > 0 && r.isLeader() {
		r.nextPoll = now.Add(r.timing.PollInterval / pollSpeedup)
	}
	pollers := r.pollers()
	if len(pollers) < pollerCount || slices.ContainsFunc(pollers, func(h Host) bool { return h.ID == r.self.ID }) {
		return []*call{r.readTable(now)}
	}
	query := r.query(now, pollers[0], nil)
	handle := query.done
	query.done = func(now time.Time, err error) []*call {
		handle(now, err)
		if now.Sub(r.tableReadAt) > r.timing.ConfirmationValidity/2 {
			return []*call{r.readTable(now)}
		}
		return nil
	}
	return []*call{query}
}

// pollers returns the zone's hosts that read the table, the leader first.
func (r *rosterReplica) pollers() []Host {
	var pollers []Host
	rest := slices.Clone(r.live)
	for len(rest) > 0 && len(pollers) < pollerCount {
		first := homeOf(leaderPartition, rest)
		pollers = append(pollers, first)
		rest = slices.DeleteFunc(rest, func(h Host) bool { return h.ID == first.ID })
	}
	return pollers
}

func (r *rosterReplica) isLeader() bool {
	pollers := r.pollers()
	return len(pollers) > 0 && pollers[0].ID == r.self.ID && !r.leaving
}

// updateMissing records since when hosts in the roster have been missing, and
// deletes the state of hosts that are neither in the roster nor live.
func (r *rosterReplica) updateMissing(now time.Time) {
	live := make(map[string]bool, len(r.live))
	for _, h := range r.live {
		live[h.ID] = true
		delete(r.missingSince, h.ID)
	}
	for id := range r.roster.Hosts {
		if _, recorded := r.missingSince[id]; !recorded && !live[id] {
			r.missingSince[id] = now
		}
	}
	irrelevant := func(id string) bool {
		_, inRoster := r.roster.Hosts[id]
		return !inRoster && !live[id]
	}
	maps.DeleteFunc(r.missingSince, func(id string, _ time.Time) bool { return irrelevant(id) })
	maps.DeleteFunc(r.answeredQuerySentAt, func(id string, _ time.Time) bool { return irrelevant(id) })
	maps.DeleteFunc(r.knownVersions, func(id string, _ uint64) bool { return irrelevant(id) })
	maps.DeleteFunc(r.withdrawals, func(id string, _ withdrawal) bool { return irrelevant(id) })
}

func (r *rosterReplica) readTable(sent time.Time) *call {
	c := &call{keys: []string{r.rowKey(), zonesKey}}
	c.done = func(now time.Time, err error) []*call {
		if err != nil || len(c.rows) != len(c.keys) {
			return r.queryVoters(now)
		}
		return r.handleTableRead(sent, now, c.rows)
	}
	return c
}

// handleTableRead adopts the rows that a read of the table returned and, on the
// leader, takes the next step of a roster change.
func (r *rosterReplica) handleTableRead(sent, now time.Time, rows []platform.Row) []*call {
	row, zones := rows[0], rows[1]
	if row.Version < r.version {
		return nil
	}
	if !r.adopt(row.Version, row.Value) {
		return nil
	}
	r.tableReadAt = later(r.tableReadAt, sent)
	shares, err := decodeZones(zones.Value)
	if err != nil || !r.isLeader() || row.Version != r.version {
		return nil
	}
	if len(shares.Shares) == 0 && now.Sub(r.start) < r.timing.Lease {
		// The other zones of a new fleet may not be known yet, and a zone can
		// return a share that is too large only in small steps. Waiting costs
		// nothing, since no host may use a fraction this early.
		r.nextPoll = now.Add(r.timing.Lease / pollSpeedup)
		return nil
	}
	r.confirmedAt(now) // Records this host's own answer as a voter.
	return r.updateRoster(now, shares, zones.Version)
}

// adopt replaces the known row if the given one is newer. It returns false if the
// row can't be decoded.
func (r *rosterReplica) adopt(version uint64, value []byte) bool {
	if version <= r.version {
		return true
	}
	decoded, err := decodeRoster(value)
	if err != nil {
		eventRowUnreadable.Log(event.Fields{"row": r.rowKey(), "error": err.Error()})
		return false
	}
	r.version, r.roster, r.encoded = version, decoded, value
	return true
}

func (r *rosterReplica) queryVoters(now time.Time) []*call {
	var calls []*call
	for _, h := range r.live {
		if h.ID != r.self.ID && slices.Contains(r.roster.Voters, h.ID) {
			calls = append(calls, r.query(now, h, nil))
		}
	}
	return calls
}

// query asks a host for its copy of the roster. If row is set, the host adopts
// it.
func (r *rosterReplica) query(sent time.Time, to Host, row []byte) *call {
	args := &RosterArgs{Version: r.version, Row: row}
	reply := &RosterReply{}
	return &call{
		to:     to,
		method: methodRoster,
		args:   args,
		reply:  reply,
		done: func(_ time.Time, err error) []*call {
			if err == nil {
				r.handleReply(sent, to.ID, reply)
			}
			return nil
		},
	}
}

func (r *rosterReplica) handleReply(sent time.Time, from string, reply *RosterReply) {
	if reply.Version == 0 || !r.adopt(reply.Version, reply.Row) {
		return
	}
	r.knownVersions[from] = max(r.knownVersions[from], reply.Version)
	r.answeredQuerySentAt[from] = later(r.answeredQuerySentAt[from], sent)
	r.tableReadAt = later(r.tableReadAt, sent.Add(-addDriftMargin(reply.Age)))
}

// handleQuery answers another host's query.
func (r *rosterReplica) handleQuery(now time.Time, args *RosterArgs) RosterReply {
	if len(args.Row) > 0 {
		r.adopt(args.Version, args.Row)
	}
	if !r.initialized() {
		return RosterReply{}
	}
	reply := RosterReply{Version: r.version, Age: now.Sub(r.tableReadAt)}
	if r.version > args.Version {
		reply.Row = r.encoded
	}
	return reply
}

// updateRoster changes the roster if necessary, and returns the calls that do
// this and collect acknowledgements.
func (r *rosterReplica) updateRoster(now time.Time, shares *zoneShares, sharesVersion uint64) []*call {
	next, nextShares := plan(r.planInput(now, shares))
	var calls []*call
	if next != nil || nextShares != nil {
		calls = append(calls, r.commit(next, nextShares, sharesVersion))
	}
	queries := r.requestAcks(now)
	calls = append(calls, queries...)
	if len(calls) > 0 {
		r.nextPoll = now.Add(r.timing.PollInterval / pollSpeedup)
	}
	return calls
}

func (r *rosterReplica) planInput(now time.Time, shares *zoneShares) *planInput {
	input := &planInput{
		zone:          r.self.Zone,
		zoneCount:     r.zoneCount,
		version:       r.version,
		roster:        r.roster,
		shares:        shares,
		knownVersions: r.knownVersions,
		dead: func(host string) bool {
			since, missing := r.missingSince[host]
			return missing && now.Sub(since) >= r.timing.DeadAfter
		},
		reclaimed: func(host string, changed uint64) bool {
			return r.reclaimed(now, host, changed)
		},
	}
	for _, h := range r.live {
		input.live = append(input.live, h.ID)
	}
	slices.Sort(input.live)
	return input
}

// reclaimed reports whether a withdrawn fraction is certainly no longer in use.
func (r *rosterReplica) reclaimed(now time.Time, host string, changed uint64) bool {
	w := r.withdrawals[host]
	if w.changed != changed {
		w = withdrawal{changed: changed}
	}
	if w.hostAckedAt.IsZero() && r.knownVersions[host] >= changed {
		w.hostAckedAt = now
	}
	if w.withdrawalAckedAt.IsZero() && r.roster.withdrawalAcked(host, r.knownVersions) {
		w.withdrawalAckedAt = now
	}
	r.withdrawals[host] = w
	return !w.hostAckedAt.IsZero() && now.Sub(w.hostAckedAt) >= addDriftMargin(r.timing.Lease) ||
		!w.withdrawalAckedAt.IsZero() && now.Sub(w.withdrawalAckedAt) >= r.timing.reclaimDelay()
}

// commit writes the zone's row, and the shares if they change. It writes the
// zone's row in either case, so that of two concurrent changes in the zone only
// one succeeds.
func (r *rosterReplica) commit(next *roster, shares *zoneShares, sharesVersion uint64) *call {
	if next == nil {
		next = r.roster
	}
	tx := &platform.Transaction{}
	tx.Conditions = append(tx.Conditions, platform.Condition{Key: r.rowKey(), Version: r.version})
	tx.Writes = append(tx.Writes, platform.Write{Key: r.rowKey(), Value: mustJSON(next)})
	if shares != nil {
		tx.Conditions = append(tx.Conditions, platform.Condition{Key: zonesKey, Version: sharesVersion})
		tx.Writes = append(tx.Writes, platform.Write{Key: zonesKey, Value: mustJSON(shares)})
	}
	// The next read shows the outcome.
	return &call{tx: tx, done: func(time.Time, error) []*call { return nil }}
}

// requestAcks queries the hosts whose acknowledgement a change is waiting for.
func (r *rosterReplica) requestAcks(now time.Time) []*call {
	lagging := func(id string, version uint64) bool { return r.knownVersions[id] < version }
	targets := make(map[string]bool)
	for _, id := range r.roster.Voters {
		if !r.roster.Settled && lagging(id, r.roster.VotersChanged) {
			targets[id] = true
		}
	}
	pending := false
	for id, e := range r.roster.Hosts {
		if e.Held <= e.Fraction {
			continue
		}
		pending = true
		if lagging(id, e.Changed) {
			targets[id] = true
		}
		for _, voter := range r.roster.Voters {
			if lagging(voter, e.Changed) {
				targets[voter] = true
			}
		}
	}
	var calls []*call
	for _, h := range r.live {
		if !targets[h.ID] || h.ID == r.self.ID {
			continue
		}
		row := r.encoded
		if len(row) > maxPushBytes && !slices.Contains(r.roster.Voters, h.ID) {
			row = nil
		}
		calls = append(calls, r.query(now, h, row))
	}
	if pending {
		r.nextPoll = now.Add(r.timing.PollInterval / pollSpeedup)
	}
	return calls
}

// leaveCall returns the call that gives up the host's own fraction. The host
// must have stopped using the fraction, and none of its delegations may be live.
func (r *rosterReplica) leaveCall(rows []platform.Row) *call {
	decoded, err := decodeRoster(rows[0].Value)
	if err != nil || rows[0].Version == 0 {
		return nil
	}
	next := decoded.clone()
	if _, ok := next.Hosts[r.self.ID]; !ok {
		return nil
	}
	next.Hosts[r.self.ID] = rosterEntry{}
	if !slices.Contains(next.Voters, r.self.ID) {
		delete(next.Hosts, r.self.ID)
	}
	return &call{tx: &platform.Transaction{
		Conditions: []platform.Condition{{Key: r.rowKey(), Version: rows[0].Version}},
		Writes:     []platform.Write{{Key: r.rowKey(), Value: mustJSON(next)}},
	}}
}

func mustJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // Unreachable: the rows hold only finite numbers and text.
	}
	return data
}
