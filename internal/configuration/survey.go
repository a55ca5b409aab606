package configuration

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"curranthold.example/curranthold/pkg/object"
)

const (
	// surveyBudget bounds the duration of a survey.
	surveyBudget = 2 * time.Second
	// surveyMaxAge is the time for which a survey that confirmed the requested
	// generation is reused.
	surveyMaxAge = time.Second
	// A host gives the hosts that it asks (budgetDivisor-1)/budgetDivisor of its
	// own time budget.
	budgetDivisor = 4
)

// Count is the number of hosts on which one generation is in force.
type Count struct {
	Generation uint64
	Hosts      int
}

// ZoneSurvey holds the generations reported by the hosts of one zone.
type ZoneSurvey struct {
	Zone string
	// Hosts is the number of known hosts in the zone.
	Hosts int
	// Counts holds the number of hosts that responded, by generation.
	Counts []Count
}

// Survey holds the generations reported by the hosts of all zones. Each host is
// counted once, for the generation that was in force on it when it was asked.
type Survey struct {
	// Started is a time before the first host was asked.
	Started time.Time
	Zones   []ZoneSurvey
}

// SurveyArgs asks the hosts of a range for their generations.
type SurveyArgs struct {
	Sender Sender
	Range  Range
	// If Known is set, the receiver returns no counts. It returns its list of the
	// zone's hosts if that differs from the sender's.
	Known  bool
	Budget time.Duration
}

// SurveyReply counts the hosts of a range that responded.
type SurveyReply struct {
	Sender Sender
	Counts []Count
	// Mismatch means that the receiver could not resolve the range because it has
	// a different host list.
	Mismatch bool
	// Known is the receiver's list of the zone's hosts, if SurveyArgs.Known was set
	// and the list differs from the sender's.
	Known []Host
}

// Survey counts the generations of this host and the other hosts of the range.
func (p *RPC) Survey(args *SurveyArgs, reply *SurveyReply) error {
	r := p.replica
	r.observeSender(args.Sender)
	reply.Sender = r.sender()
	zone := r.view.Load().zone(r.config.Zone)
	s, ok := zone.resolve(args.Range)
	if ok && args.Known {
		return nil
	}
	if !ok || len(s.hosts) == 0 || s.hosts[0].ID != r.config.Host {
		reply.Mismatch = true
		if args.Known {
			reply.Known = zone.hosts
		}
		return nil
	}
	budget := min(args.Budget, surveyBudget)
	ctx, cancel := context.WithTimeout(r.ctx, budget)
	defer cancel()
	reply.Counts = r.surveySpan(ctx, s.rest(), budget).add(r.inForce.Load(), 1)
	return nil
}

// counts holds at most one Count for each generation.
type counts []Count

func (c counts) add(generation uint64, hosts int) counts {
	for i := range c {
		if c[i].Generation == generation {
			c[i].Hosts += hosts
			return c
		}
	}
	return append(c, Count{Generation: generation, Hosts: hosts})
}

// surveySpan counts the generations of all hosts of a span: it splits the span into
// parts and asks the first host of each, which asks the rest of the part. If a
// first host does not respond, it is not counted and this host asks the rest
// itself.
func (r *Replica) surveySpan(ctx context.Context, s span, budget time.Duration) counts {
	if ctx.Err() != nil {
		return nil
	}
	var mu sync.Mutex
	var total counts
	var parts conc.WaitGroup
	for _, part := range s.split() {
		parts.Go(func() {
			partCounts := r.surveyPart(ctx, part, budget)
			mu.Lock()
			defer mu.Unlock()
			for _, c := range partCounts {
				total = total.add(c.Generation, c.Hosts)
			}
		})
	}
	parts.Wait()
	return total
}

func (r *Replica) surveyPart(ctx context.Context, part span, budget time.Duration) counts {
	first := part.hosts[0]
	budget = budget * (budgetDivisor - 1) / budgetDivisor
	if first.ID == r.config.Host {
		return r.surveySpan(ctx, part.rest(), budget).add(r.inForce.Load(), 1)
	}
	reply, err := r.callSurvey(ctx, first, SurveyArgs{Range: part.toRange(), Budget: budget})
	if err == nil && reply.Mismatch {
		reply, err = r.callSurvey(ctx, first, SurveyArgs{Range: part.explicitRange(), Budget: budget})
	}
	if err != nil || reply.Mismatch {
		return r.surveySpan(ctx, part.rest(), budget)
	}
	return reply.Counts
}

func (r *Replica) callSurvey(ctx context.Context, h Host, args SurveyArgs) (SurveyReply, error) {
	ctx, cancel := context.WithTimeout(ctx, args.Budget)
	defer cancel()
	started := r.config.Now()
	args.Sender = r.sender()
	var reply SurveyReply
	err := r.config.Peers.Call(ctx, h.Address, ServiceName+".Survey", &args, &reply)
	if err == nil {
		r.observeReply(reply.Sender, started)
	}
	return reply, err
}

// surveyCache holds the last survey, so that frequent requests share one.
type surveyCache struct {
	mu   sync.Mutex
	last Survey
}

// Survey asks all hosts which generation is in force on them. If a survey of the
// last second confirmed the given generation everywhere, it returns that survey. A
// host that does not respond counts for no generation. A zone of which no host is
// known, such as this host's own zone before SetHosts, is listed with no hosts.
func (r *Replica) Survey(ctx context.Context, generation uint64) Survey {
	r.surveys.mu.Lock()
	defer r.surveys.mu.Unlock()
	now := r.config.Now()
	last := r.surveys.last
	fresh := !last.Started.IsZero() && now.Sub(last.Started) < surveyMaxAge
	if fresh && last.Confirmation(generation).Status == object.True {
		return last
	}
	r.surveys.last = r.surveyZones(ctx, now)
	return r.surveys.last
}

func (r *Replica) surveyZones(ctx context.Context, now time.Time) Survey {
	metricSurveys.Add(1)
	ctx, cancel := context.WithTimeout(ctx, surveyBudget)
	defer cancel()
	names := r.zoneNames(now)
	s := Survey{Started: now, Zones: make([]ZoneSurvey, len(names))}
	var zones conc.WaitGroup
	for i, name := range names {
		zones.Go(func() { s.Zones[i] = r.surveyZone(ctx, name, now) })
	}
	zones.Wait()
	return s
}

// zoneNames returns the names of this host's zone, of all declared zones, and of
// all zones that have live hosts or had some within departedRetention.
func (r *Replica) zoneNames(now time.Time) []string {
	v := r.view.Load()
	names := []string{r.config.Zone}
	for name := range v.zones {
		names = append(names, name)
	}
	for name := range r.Snapshot().zones {
		names = append(names, name)
	}
	for _, d := range v.departed {
		if now.Sub(d.at) < departedRetention {
			names = append(names, d.host.Zone)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func (r *Replica) surveyZone(ctx context.Context, name string, now time.Time) ZoneSurvey {
	v := r.view.Load()
	s := r.mergeHostList(ctx, v.zone(name).span())
	result := ZoneSurvey{Zone: name, Hosts: len(s.hosts) + v.countDeparted(name, s.hosts, now)}
	if len(s.hosts) > 0 {
		result.Counts = r.surveyPart(ctx, s, surveyBudget)
	}
	return result
}

// mergeHostList asks one of the first hosts of a zone for its list of the zone's
// hosts, and returns the span extended by the hosts that are only in that list. The
// survey then also covers hosts that this host does not know yet.
func (r *Replica) mergeHostList(ctx context.Context, s span) span {
	args := SurveyArgs{Range: Range{Digest: s.digest}, Known: true, Budget: callTimeout}
	asked := 0
	for _, h := range s.hosts {
		if h.ID == r.config.Host {
			continue
		}
		if asked++; asked > pollersPerZone {
			return s
		}
		reply, err := r.callSurvey(ctx, h, args)
		if err != nil {
			continue
		}
		if reply.Mismatch {
			s = s.withHosts(reply.Known)
		}
		return s
	}
	return s
}

// withHosts returns the span extended by those of others that it lacks.
func (s span) withHosts(others []Host) span {
	known := make(map[string]bool, len(s.hosts))
	for _, h := range s.hosts {
		known[h.ID] = true
	}
	all := s.hosts
	for _, h := range others {
		if !known[h.ID] {
			all = append(slices.Clip(all), h)
		}
	}
	return span{hosts: all}
}

// Confirmation returns the in-force condition of one generation according to the
// survey. Its status is True only if the generation, or a later one, is in force on
// every known host of every zone.
func (s Survey) Confirmation(generation uint64) object.Condition {
	c := object.Condition{Type: object.ConditionInForce, Status: object.True, Observed: s.Started}
	for _, zone := range s.Zones {
		z := zone.confirmation(generation)
		c.Zones = append(c.Zones, z)
		c.Status = worseStatus(c.Status, z.Status)
	}
	c.Message = confirmationMessages[c.Status]
	return c
}

var confirmationMessages = map[object.ConditionStatus]string{
	object.True:    "every known host confirmed it",
	object.False:   "at least one host has not applied it yet",
	object.Unknown: "some hosts or zones were not heard",
}

// worseStatus returns the worse of two statuses: False, then Unknown, then True.
func worseStatus(a, b object.ConditionStatus) object.ConditionStatus {
	switch {
	case a == object.False || b == object.False:
		return object.False
	case a == object.Unknown || b == object.Unknown:
		return object.Unknown
	default:
		return object.True
	}
}

func (z ZoneSurvey) confirmation(generation uint64) object.ZoneConfirmation {
	c := object.ZoneConfirmation{AvailabilityZone: z.Zone, Hosts: z.Hosts, Status: object.True}
	for _, count := range z.Counts {
		if count.Generation >= generation {
			c.Confirmed += count.Hosts
		} else {
			c.Behind += count.Hosts
		}
	}
	c.Unheard = max(0, c.Hosts-c.Confirmed-c.Behind)
	switch {
	case c.Behind > 0:
		c.Status = object.False
	case c.Unheard > 0 || c.Hosts == 0:
		c.Status = object.Unknown
	}
	return c
}
