package owner

import (
	"context"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/admission"
	"curranthold.example/curranthold/pkg/object"
)

func newTestOwner(t *testing.T) *Owner {
	o, err := New(Config{
		Admission: admission.New(admission.Config{}),
		Service:   func(string) (object.ServiceSpec, bool) { return object.ServiceSpec{ColdRate: 40}, true },
	})
	qt.Assert(t, err, qt.IsNil)
	return o
}

func heartbeat(incarnation string, startMs int64, sequence uint64, leaving bool) Heartbeat {
	return Heartbeat{
		Announcement: Announcement{Service: "s", Address: "127.0.0.1:1", Slots: 10, Incarnation: incarnation},
		StartMs:      startMs, Sequence: sequence, Leaving: leaving,
	}
}

// TestHandleHeartbeat handles sequences of heartbeats and departures, some out of
// order. The field offered is the incarnation of the backend server that gets calls
// after the sequence, "" if none does.
func TestHandleHeartbeat(t *testing.T) {
	type step struct {
		heartbeat Heartbeat
		depart    string
		stale     bool
	}
	tests := map[string]struct {
		steps   []step
		offered string
	}{
		"in order":                       {[]step{{heartbeat: heartbeat("a", 1, 1, false)}, {heartbeat: heartbeat("a", 1, 2, false)}}, "a"},
		"late from same instance":        {[]step{{heartbeat: heartbeat("a", 1, 2, true)}, {heartbeat: heartbeat("a", 1, 1, false), stale: true}}, ""},
		"no return after leaving":        {[]step{{heartbeat: heartbeat("a", 1, 1, true)}, {heartbeat: heartbeat("a", 1, 2, false), stale: true}}, ""},
		"later instance":                 {[]step{{heartbeat: heartbeat("a", 1, 9, true)}, {heartbeat: heartbeat("b", 2, 1, false)}}, "b"},
		"later instance with same name":  {[]step{{heartbeat: heartbeat("a", 1, 9, true)}, {heartbeat: heartbeat("a", 2, 1, false)}}, "a"},
		"late from earlier instance":     {[]step{{heartbeat: heartbeat("b", 2, 1, false)}, {heartbeat: heartbeat("a", 1, 9, false), stale: true}}, "b"},
		"departed":                       {[]step{{heartbeat: heartbeat("a", 1, 1, false)}, {depart: "a"}}, ""},
		"late after departure":           {[]step{{heartbeat: heartbeat("a", 1, 1, false)}, {depart: "a"}, {heartbeat: heartbeat("a", 1, 2, false), stale: true}}, ""},
		"departure before any heartbeat": {[]step{{depart: "a"}, {heartbeat: heartbeat("a", 1, 2, false), stale: true}}, ""},
		"another instance departs":       {[]step{{heartbeat: heartbeat("b", 2, 1, false)}, {depart: "a"}}, "b"},
		"restart after departure":        {[]step{{heartbeat: heartbeat("a", 1, 1, false)}, {depart: "a"}, {heartbeat: heartbeat("a", 2, 1, false)}}, "a"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			o := newTestOwner(t)
			for _, s := range test.steps {
				if s.depart != "" {
					o.MarkDeparted(s.depart, 0)
					continue
				}
				qt.Assert(t, o.HandleHeartbeat(s.heartbeat) != nil, qt.Equals, s.stale)
			}
			offered := ""
			if b := o.current(); b != nil {
				offered = b.announcement.Incarnation
			}
			qt.Assert(t, offered, qt.Equals, test.offered)
		})
	}
}

// TestDeparturesForgetUnused guards against a bound on the departures known at which one is
// forgotten whose late heartbeats still arrive.
func TestDeparturesForgetUnused(t *testing.T) {
	o := newTestOwner(t)
	o.MarkDeparted("sends", 1)
	for i := range 10 * maxDepartures {
		o.MarkDeparted("other-"+strconv.Itoa(i), 1)
		qt.Assert(t, o.HandleHeartbeat(heartbeat("sends", 1, uint64(i), false)), qt.Equals, ErrStaleHeartbeat)
	}
	qt.Check(t, len(o.departures.byIncarnation), qt.Equals, maxDepartures)
}

// TestAnnounceProvisionally checks that the first heartbeat replaces a provisional
// announcement, and that there can be none after a heartbeat.
func TestAnnounceProvisionally(t *testing.T) {
	o := newTestOwner(t)
	qt.Assert(t, o.Announced(), qt.IsFalse)
	qt.Assert(t, o.AnnounceProvisionally(heartbeat("a", 0, 0, false)), qt.IsTrue)
	qt.Assert(t, o.HandleHeartbeat(heartbeat("a", 5, 3, true)), qt.IsNil)
	qt.Assert(t, o.current(), qt.IsNil)
	qt.Assert(t, o.AnnounceProvisionally(heartbeat("a", 0, 0, false)), qt.IsFalse)
}

// TestProvisionalBackendDeparts guards against calls to a backend server that left before its
// first heartbeat to this node.
func TestProvisionalBackendDeparts(t *testing.T) {
	for name, startMs := range map[string]int64{"start time known": 5, "start time unknown": 0} {
		t.Run(name, func(t *testing.T) {
			o := newTestOwner(t)
			qt.Assert(t, o.AnnounceProvisionally(heartbeat("a", 0, 0, false)), qt.IsTrue)
			o.MarkDeparted("another", startMs)
			qt.Check(t, o.current(), qt.IsNotNil)
			o.MarkDeparted("a", startMs)
			qt.Check(t, o.current(), qt.IsNil)
			qt.Check(t, o.HandleHeartbeat(heartbeat("a", startMs, 1, false)), qt.Equals, ErrStaleHeartbeat)
		})
	}
}

// TestColdHeartbeat checks that a backend server in cold start gets no more calls than
// its declared cold rate allows, from its first heartbeat on.
func TestColdHeartbeat(t *testing.T) {
	o := newTestOwner(t)
	cold := heartbeat("a", 1, 1, false)
	cold.Announcement.Cold, cold.ColdFor = true, time.Minute
	qt.Assert(t, o.HandleHeartbeat(cold), qt.IsNil)
	started := 0
	begin := time.Now()
	for range 100 {
		ctx, cancel := shortContext()
		if _, err := o.config.Admission.Acquire(ctx, admission.Request{}); err == nil {
			started++
		}
		cancel()
	}
	limit := 2 + 40*time.Since(begin).Seconds()
	qt.Assert(t, float64(started) <= limit, qt.IsTrue, qt.Commentf("%d calls started, limit %.1f", started, limit))
}

// TestWarmHeartbeat checks in which cases the limit starts at the slots: only with
// WarmStart, for a backend server that says that it isn't cold and whose service is
// declared without a cold rate. It guards against a ramp that refuses most requests
// of such a server, and against changes for other services.
func TestWarmHeartbeat(t *testing.T) {
	warm := heartbeat("a", 1, 1, false)
	cold := warm
	cold.Announcement.Cold = true
	coldFor := warm
	coldFor.ColdFor = time.Second
	const slots, slowLimit, minLimit = 10, 5, 1
	tests := map[string]struct {
		off, undeclared bool
		spec            object.ServiceSpec
		heartbeat       Heartbeat
		limit           int
	}{
		"warm":              {heartbeat: warm, limit: slots},
		"setting off":       {off: true, heartbeat: warm, limit: minLimit},
		"not declared":      {undeclared: true, heartbeat: warm, limit: minLimit},
		"cold":              {heartbeat: cold, limit: slowLimit},
		"cold time left":    {heartbeat: coldFor, limit: slowLimit},
		"off, cold":         {off: true, heartbeat: cold, limit: minLimit},
		"undeclared, cold":  {undeclared: true, heartbeat: cold, limit: minLimit},
		"cold rate":         {spec: object.ServiceSpec{ColdRate: 40}, heartbeat: warm, limit: slots},
		"cold rate, cold":   {spec: object.ServiceSpec{ColdRate: 40}, heartbeat: cold, limit: slots},
		"off and cold rate": {off: true, spec: object.ServiceSpec{ColdRate: 40}, heartbeat: warm, limit: slots},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			o, err := New(Config{
				Admission: admission.New(admission.Config{}),
				WarmStart: !test.off,
				Service:   func(string) (object.ServiceSpec, bool) { return test.spec, !test.undeclared },
			})
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, o.HandleHeartbeat(test.heartbeat), qt.IsNil)
			qt.Check(t, o.config.Admission.Load().Limit, qt.Equals, test.limit)
		})
	}
}

// TestLevelledHeartbeat checks for which services the owner reports a level: only with
// TreeAdmission, and if the service is declared without a cold rate. The limit of a paced
// backend server says nothing of its capacity.
func TestLevelledHeartbeat(t *testing.T) {
	tests := map[string]struct {
		setting, declared bool
		spec              object.ServiceSpec
		levelled          bool
	}{
		"on":           {setting: true, declared: true, levelled: true},
		"off":          {declared: true},
		"not declared": {setting: true},
		"cold rate":    {setting: true, declared: true, spec: object.ServiceSpec{ColdRate: 40}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			o, err := New(Config{
				Admission:     admission.New(admission.Config{}),
				TreeAdmission: test.setting,
				Service:       func(string) (object.ServiceSpec, bool) { return test.spec, test.declared },
			})
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, o.HandleHeartbeat(heartbeat("a", 1, 1, false)), qt.IsNil)
			qt.Check(t, o.config.Admission.Load().Levelled, qt.Equals, test.levelled)
		})
	}
}

func shortContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), time.Millisecond/10)
}
