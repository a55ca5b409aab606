package entry_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/admission"
	"curranthold.example/curranthold/internal/call"
	"curranthold.example/curranthold/internal/entry"
	"curranthold.example/curranthold/internal/owner"
	"curranthold.example/curranthold/pkg/header"
	"curranthold.example/curranthold/pkg/object"
	"curranthold.example/curranthold/pkg/verdict"
)

// levelPeers answers all calls with a level at which nothing but urgent requests is
// admitted, and keeps the probabilities in the requests.
type levelPeers struct {
	fakePeers
	mu            sync.Mutex
	probabilities []float64
}

func newLevelPeers(answer call.Answer) *levelPeers {
	p := new(levelPeers)
	p.answer = func(_ int64, r *call.Request) (*call.Answer, error) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.probabilities = append(p.probabilities, r.AdmitProbability)
		reply := answer
		return &reply, nil
	}
	return p
}

// newTreeEntry returns an entry with a normal and an urgent route.
func newTreeEntry(t *testing.T, p *levelPeers, configure func(*entry.Config)) *entry.Entry {
	return newTokenlessEntry(t, map[string][]string{"peals": {"host-0"}}, 100, map[string]object.Spec{
		"peals":   object.ServiceSpec{},
		"lookups": object.RouteSpec{PathPrefix: "/lookups", Service: "peals", Urgency: object.Normal, Open: true, Attempts: 1, TimeoutMs: 3000},
		"alarms":  object.RouteSpec{PathPrefix: "/alarms", Service: "peals", Urgency: object.Urgent, Open: true, Attempts: 1},
	}, func(c *entry.Config) {
		c.Peers, c.TreeAdmission = p, true
		configure(c)
	})
}

// sendTree sends requests and returns the number of those that were refused as not run.
func sendTree(e *entry.Entry, path string, requests int) (refused int) {
	for range requests {
		recorder := httptest.NewRecorder()
		e.CallerHandler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
		if recorder.Code == http.StatusServiceUnavailable && recorder.Header().Get(header.Verdict) != verdict.MayHaveRun.String() {
			refused++
		}
	}
	return refused
}

// TestTreeAdmission sends requests while the answers report a level, in the load hint or
// from beneath. It guards against refusals of nested calls, of other urgencies, or without
// the setting.
func TestTreeAdmission(t *testing.T) {
	const onlyUrgent = object.UrgencyCount - 1
	own := call.Answer{Status: 200, Load: admission.Load{Limit: 9, Slots: 9, ShedFrom: object.UrgencyCount, Levelled: true, Closed: onlyUrgent}}
	beneath := call.Answer{Status: 200, Load: admission.Load{Limit: 9, Slots: 9, ShedFrom: object.UrgencyCount}, ClosedBeneath: onlyUrgent}
	lost := own
	lost.Load.FailingPercent = 80
	tests := map[string]struct {
		answer    call.Answer
		path      string
		configure func(*entry.Config)
		limited   bool
	}{
		"level of the service":   {own, "/lookups", func(*entry.Config) {}, true},
		"level beneath":          {beneath, "/lookups", func(*entry.Config) {}, true},
		"failing server":         {lost, "/lookups", func(*entry.Config) {}, false},
		"urgent":                 {own, "/alarms", func(*entry.Config) {}, false},
		"nested call":            {own, "/lookups", func(c *entry.Config) { c.Codec = nestedCodec{} }, false},
		"setting off":            {own, "/lookups", func(c *entry.Config) { c.TreeAdmission = false }, false},
		"host of earlier builds": {call.Answer{Status: 200, Load: admission.Load{Limit: 9, Slots: 9, ShedFrom: object.UrgencyCount}}, "/lookups", func(*entry.Config) {}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newLevelPeers(test.answer)
			refused := sendTree(newTreeEntry(t, p, test.configure), test.path, 200)
			qt.Check(t, refused > 150, qt.Equals, test.limited, qt.Commentf("%d refused", refused))
			if !test.limited {
				qt.Check(t, refused, qt.Equals, 0)
				return
			}
			last := p.probabilities[len(p.probabilities)-1]
			qt.Check(t, last > 0 && last < 0.5, qt.IsTrue, qt.Commentf("probability %v", last))
		})
	}
}

// TestTreeReplacesThrottle has nested calls of all requests refused. The throttle must
// refuse requests only if a service that reports no level has refused.
func TestTreeReplacesThrottle(t *testing.T) {
	for name, test := range map[string]struct{ byLevel, setting, throttled bool }{
		"by a service with levels":      {true, true, false},
		"by a service without levels":   {false, true, true},
		"with levels, but setting off":  {true, false, true},
		"without levels or the setting": {false, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			p := newLevelPeers(call.Answer{
				Status: 500, RefusedBeneath: true, RefusedByLevel: test.byLevel,
				Load: admission.Load{Limit: 9, Slots: 9, ShedFrom: object.UrgencyCount},
			})
			refused := sendTree(newTreeEntry(t, p, func(c *entry.Config) { c.TreeAdmission = test.setting }), "/lookups", 100)
			qt.Check(t, refused > 50, qt.Equals, test.throttled, qt.Commentf("%d refused", refused))
		})
	}
}

// TestNestedInheritProbability makes a nested call in a parent that was admitted with a
// probability, at a service that reports a level and refuses. The nested call must carry
// the probability, and the parent's answer the level and who refused.
func TestNestedInheritProbability(t *testing.T) {
	refused := call.Answer{
		Err:  verdict.New(verdict.NotRun, verdict.Overloaded, "full"),
		Load: admission.Load{Limit: 9, Slots: 9, ShedFrom: object.UrgencyCount, Levelled: true, Closed: 7.5},
	}
	p := newLevelPeers(refused)
	var e *entry.Entry
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for range 30 { // The level is an average.
			request := httptest.NewRequest(http.MethodGet, "/lookups", nil)
			request.Header.Set(parentHeader, "parent")
			e.CallerHandler().ServeHTTP(httptest.NewRecorder(), request)
		}
		w.WriteHeader(http.StatusBadGateway)
	}))
	defer backend.Close()
	o, err := owner.New(owner.Config{
		Admission: admission.New(admission.Config{}), AnswerBytes: 1024, RequestIDTokens: true, TreeAdmission: true,
	})
	qt.Assert(t, err, qt.IsNil)
	o.Announce(owner.Announcement{Service: "parents", Address: backend.Listener.Addr().String(), Slots: 4})
	e = newTreeEntry(t, p, func(c *entry.Config) { c.Owner, c.Codec = o, parentCodec{} })
	request := parentRequest("1")
	request.Route, request.AdmitProbability = "top", 0.25
	var answer call.Answer
	o.Call(context.Background(), request, &answer)
	for _, probability := range p.probabilities {
		qt.Assert(t, probability, qt.Equals, 0.25)
	}
	qt.Check(t, answer.RefusedBeneath, qt.IsTrue)
	qt.Check(t, answer.RefusedByLevel, qt.IsTrue)
	qt.Check(t, answer.ClosedBeneath > 6 && answer.ClosedBeneath <= 7.5, qt.IsTrue, qt.Commentf("%v", answer.ClosedBeneath))
	var later call.Answer
	other := parentRequest("2")
	other.Route, other.Service = "other", "unknown"
	o.Call(context.Background(), other, &later)
	qt.Check(t, later.ClosedBeneath, qt.Equals, 0.0)
}
