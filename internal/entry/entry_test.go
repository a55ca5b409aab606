package entry_test

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/balance"
	"curranthold.example/curranthold/internal/call"
	"curranthold.example/curranthold/internal/claim"
	"curranthold.example/curranthold/internal/configuration"
	"curranthold.example/curranthold/internal/entry"
	"curranthold.example/curranthold/internal/key"
	"curranthold.example/curranthold/internal/owner"
	"curranthold.example/curranthold/internal/peer"
	"curranthold.example/curranthold/internal/platform"
	"curranthold.example/curranthold/internal/standin"
	"curranthold.example/curranthold/pkg/header"
	"curranthold.example/curranthold/pkg/object"
	"curranthold.example/curranthold/pkg/verdict"
)

// fakePeers answers calls to owners with a function.
type fakePeers struct {
	calls  atomic.Int64
	answer func(n int64, request *call.Request) (*call.Answer, error)
	// answerAt may be nil. An answer that it returns for an address replaces that
	// of answer.
	answerAt func(address string) *call.Answer
	// corrupt changes the body of each answer after its checksum was computed.
	corrupt bool
}

func (p *fakePeers) Call(_ context.Context, address, method string, args, reply any) error {
	request := exchanged(method, args)
	if request == nil {
		return nil
	}
	answer, err := p.answer(p.calls.Add(1), request)
	if err != nil {
		return err
	}
	if p.answerAt != nil {
		answer = cmp.Or(p.answerAt(address), answer)
	}
	answer.ID = request.ID
	answer.ExtraAttempts = request.ExtraAttempts
	answer.Seal()
	if p.corrupt {
		answer.Body = append(answer.Body, '!')
	}
	*reply.(*call.Packed) = answer.Pack()
	return nil
}

// exchanged returns the request that an entry sends to an owner, nil if the message is
// another one.
func exchanged(method string, args any) *call.Request {
	packed, ok := args.(*call.Packed)
	if !ok || method != "Owner.Exchange" {
		return nil
	}
	request, err := packed.Request()
	if err != nil {
		panic(err)
	}
	return request
}

// exhaustedQuota refuses every call for lack of quota.
type exhaustedQuota struct{}

func (exhaustedQuota) Spend(context.Context, string) error {
	return verdict.New(verdict.NotRun, verdict.QuotaExceeded, "over the rate")
}

type unlimitedQuota struct{}

func (unlimitedQuota) Spend(context.Context, string) error { return nil }

type noClaims struct{}

func (noClaims) Begin(context.Context, claim.Request) (*claim.Claim, error) { return nil, nil }
func (noClaims) Issue(string, int) ([]string, error)                        { return nil, nil }

type noOwner struct{}

func (noOwner) Call(context.Context, *call.Request, *call.Answer) {}
func (noOwner) Parent(string) (*owner.Parent, bool)               { return nil, false }

// newReplica returns a replica whose configuration in force contains the objects.
func newReplica(tb testing.TB, specs map[string]object.Spec) *configuration.Replica {
	platformServer := standin.NewPlatform(1)
	server := httptest.NewServer(platformServer.Handler())
	client := platform.New(platform.Config{TableAddress: server.Listener.Addr().String(), StoreAddress: server.Listener.Addr().String()})
	replica := configuration.New(configuration.Config{Host: "own", Zone: "a", Table: client, Store: client.Objects(), Peers: &fakePeers{}})
	replica.SetHosts([]configuration.Host{{ID: "own", Zone: "a", Address: "own"}})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = replica.Run(ctx)
	}()
	tb.Cleanup(func() {
		cancel()
		<-done
		_ = replica.Close()
		_ = client.Close()
		server.Close()
		_ = platformServer.Close()
	})
	<-replica.Ready()
	var drafts []configuration.Draft
	for name, spec := range specs {
		drafts = append(drafts, configuration.Draft{
			ID: object.ID{Kind: spec.Kind(), Name: name}, Spec: spec, AnyVersion: true,
		})
	}
	slices.SortFunc(drafts, func(a, b configuration.Draft) int { return creationOrder(a.ID.Kind) - creationOrder(b.ID.Kind) })
	const batch = 1000
	for part := range slices.Chunk(drafts, batch) {
		id := string(part[0].ID.Kind) + part[0].ID.Name
		_, err := replica.Apply(ctx, configuration.Operation{
			ID: id, Operator: "test", Action: "apply", Request: []byte(id),
			Plan: func(*configuration.Snapshot) ([]configuration.Draft, error) { return part, nil },
		})
		qt.Assert(tb, err, qt.IsNil)
	}
	return replica
}

// creationOrder returns the position of a kind in the order of creation: objects are
// created after those that they refer to.
func creationOrder(kind object.Kind) int {
	return slices.Index([]object.Kind{object.KindService, object.KindClientAccount, object.KindKey, object.KindRoute}, kind)
}

func newBalancer(hosts int) *balance.Balancer {
	c := balance.New(balance.Config{Zone: "a"})
	list := make([]balance.Host, hosts)
	for i := range list {
		list[i] = balance.Host{ID: "host-" + string(rune('a'+i)), Zone: "a", Address: "x", Slots: 10}
	}
	c.SetHosts(map[string][]balance.Host{"peals": list})
	return c
}

func newEntry(t testing.TB, p *fakePeers) http.Handler {
	return newEntryWith(t, p, unlimitedQuota{}, nil)
}

func newEntryWith(t testing.TB, p *fakePeers, tokens entry.Quota, extra map[string]object.Spec) http.Handler {
	specs := map[string]object.Spec{
		"peals":   object.ServiceSpec{},
		"records": object.RouteSpec{PathPrefix: "/records", Service: "peals", Urgency: object.Normal, NonRepeatable: true, Open: true},
		"lookups": object.RouteSpec{PathPrefix: "/lookups", Service: "peals", Urgency: object.Normal, Open: true},
		"closed":  object.RouteSpec{PathPrefix: "/closed", Service: "peals", Urgency: object.Normal},
	}
	maps.Copy(specs, extra)
	e, err := entry.New(entry.Config{
		Host:          "own",
		Configuration: newReplica(t, specs),
		Quota:         tokens, Claims: noClaims{}, Balancer: newBalancer(8), Peers: p, Owner: noOwner{},
		RequestBytes: 64, DefaultTimeout: 5 * time.Second, ExtraAttempts: 3,
	})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = e.Close() })
	return e.CallerHandler()
}

func refusal(v verdict.Verdict, code verdict.Code) *call.Answer {
	return &call.Answer{Err: verdict.New(v, code, "refused")}
}

func ok() *call.Answer { return &call.Answer{Status: 200, Body: []byte("whole")} }

// TestAttempts gives the attempts of a call a sequence of outcomes and checks the
// verdict that the caller gets and how often the call was sent.
func TestAttempts(t *testing.T) {
	notRun := func() (*call.Answer, error) { return refusal(verdict.NotRun, verdict.Overloaded), nil }
	broken := func() (*call.Answer, error) { return nil, peer.ErrBroken }
	notSent := func() (*call.Answer, error) { return nil, peer.ErrNotSent }
	served := func() (*call.Answer, error) { return ok(), nil }
	type answers []func() (*call.Answer, error)
	tests := map[string]struct {
		path    string
		answers answers
		verdict verdict.Verdict
		sent    int64
	}{
		"served":                            {"/records", answers{served}, verdict.Ran, 1},
		"not-run is sent again":             {"/records", answers{notRun, served}, verdict.Ran, 2},
		"not-sent is sent again":            {"/records", answers{notSent, served}, verdict.Ran, 2},
		"non-repeatable is not sent again":  {"/records", answers{broken, served}, verdict.MayHaveRun, 1},
		"idempotent is sent again":          {"/lookups", answers{broken, served}, verdict.Ran, 2},
		"not-run after may-have-run":        {"/lookups", answers{broken, notRun, notRun, notRun, notRun}, verdict.MayHaveRun, 2},
		"not-sent refunds the budget share": {"/records", answers{notSent, notSent, notSent, served}, verdict.Ran, 4},
		"budget exhausted":                  {"/records", answers{notRun, notRun, notRun, notRun, served}, verdict.NotRun, 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := &fakePeers{answer: func(n int64, _ *call.Request) (*call.Answer, error) { return test.answers[n-1]() }}
			recorder := httptest.NewRecorder()
			newEntry(t, p).ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, test.path, nil))
			qt.Check(t, recorder.Header().Get(header.Verdict), qt.Equals, test.verdict.String())
			qt.Check(t, p.calls.Load(), qt.Equals, test.sent)
		})
	}
}

// TestBadRequests checks that invalid requests are refused with verdict not-run and
// never sent to an owner.
func TestBadRequests(t *testing.T) {
	tests := map[string]struct {
		path, name, value, body string
		status                  int
		code                    verdict.Code
	}{
		"unknown route":     {path: "/nowhere", status: 404, code: verdict.UnknownRoute},
		"no key":            {path: "/closed", status: 401, code: verdict.KeyMissing},
		"wrong key":         {path: "/closed", name: header.Key, value: "ch1.a.b", status: 403, code: verdict.KeyRefused},
		"oversized":         {path: "/lookups", body: strings.Repeat("x", 65), status: 413, code: verdict.RequestTooLarge},
		"deadline":          {path: "/lookups", name: header.Deadline, value: "soon", status: 400, code: verdict.BadRequest},
		"negative deadline": {path: "/lookups", name: header.Deadline, value: "-1", status: 400, code: verdict.BadRequest},
		"long identifier":   {path: "/lookups", name: header.RequestID, value: strings.Repeat("x", 129), status: 400, code: verdict.BadRequest},
		"long key":          {path: "/lookups", name: header.IdempotencyKey, value: strings.Repeat("x", 257), status: 400, code: verdict.BadRequest},
	}
	p := &fakePeers{answer: func(int64, *call.Request) (*call.Answer, error) { return ok(), nil }}
	callers := newEntry(t, p)
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			request := httptest.NewRequest(http.MethodPost, test.path, strings.NewReader(test.body))
			if test.name != "" {
				request.Header.Set(test.name, test.value)
			}
			recorder := httptest.NewRecorder()
			callers.ServeHTTP(recorder, request)
			var failure verdict.Error
			qt.Assert(t, json.Unmarshal(recorder.Body.Bytes(), &failure), qt.IsNil)
			qt.Check(t, recorder.Code, qt.Equals, test.status)
			qt.Check(t, failure.Code, qt.Equals, test.code)
			qt.Check(t, failure.Verdict, qt.Equals, verdict.NotRun)
		})
	}
	qt.Check(t, p.calls.Load(), qt.Equals, int64(0))
}

// TestDamagedAnswer receives an answer whose body was changed in transit.
func TestDamagedAnswer(t *testing.T) {
	p := &fakePeers{corrupt: true, answer: func(int64, *call.Request) (*call.Answer, error) { return ok(), nil }}
	recorder := httptest.NewRecorder()
	newEntry(t, p).ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/records", nil))
	qt.Check(t, recorder.Header().Get(header.Verdict), qt.Equals, verdict.MayHaveRun.String())
	qt.Check(t, recorder.Body.String(), qt.Contains, string(verdict.AnswerMismatch))
}

// TestRefusalBeforeTheClaim refuses a request for lack of quota before it is
// claimed. If the request has an idempotency key or ticket, an earlier arrival of it
// may have run, and the verdict must say so.
func TestRefusalBeforeTheClaim(t *testing.T) {
	presented, spec := key.Generate("key-1", "bern")
	extra := map[string]object.Spec{"bern": object.ClientAccountSpec{Rate: 1, Burst: 1}, "key-1": spec}
	p := &fakePeers{answer: func(int64, *call.Request) (*call.Answer, error) { return ok(), nil }}
	callers := newEntryWith(t, p, exhaustedQuota{}, extra)
	tests := map[string]struct {
		name string
		want verdict.Verdict
	}{
		"no key":          {"X-Other", verdict.NotRun},
		"idempotency key": {header.IdempotencyKey, verdict.MayHaveRun},
		"ticket":          {header.Ticket, verdict.MayHaveRun},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			request := httptest.NewRequest(http.MethodPost, "/closed", nil)
			request.Header.Set(header.Key, presented)
			request.Header.Set(test.name, "value")
			recorder := httptest.NewRecorder()
			callers.ServeHTTP(recorder, request)
			qt.Check(t, recorder.Header().Get(header.Verdict), qt.Equals, test.want.String())
			qt.Check(t, recorder.Body.String(), qt.Contains, string(verdict.QuotaExceeded))
		})
	}
}

// TestCallsInFlightLimit sends a second call to an entry whose limit is one call in
// flight.
func TestCallsInFlightLimit(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	p := &fakePeers{answer: func(n int64, _ *call.Request) (*call.Answer, error) {
		if n == 1 {
			close(entered)
			<-release
		}
		return ok(), nil
	}}
	e, err := entry.New(entry.Config{
		Host: "own", Configuration: newReplica(t, map[string]object.Spec{
			"peals":   object.ServiceSpec{},
			"lookups": object.RouteSpec{PathPrefix: "/lookups", Service: "peals", Urgency: object.Normal, Open: true},
		}),
		Balancer: newBalancer(2), Peers: p, Owner: noOwner{}, DefaultTimeout: 5 * time.Second, CallsInFlight: 1,
	})
	qt.Assert(t, err, qt.IsNil)
	send := func(name string) *httptest.ResponseRecorder {
		request := httptest.NewRequest(http.MethodGet, "/lookups", nil)
		request.Header.Set(name, "value")
		recorder := httptest.NewRecorder()
		e.CallerHandler().ServeHTTP(recorder, request)
		return recorder
	}
	first := make(chan int)
	go func() { first <- send("X-Other").Code }()
	<-entered
	refused := send("X-Other")
	qt.Check(t, refused.Code, qt.Equals, 503)
	qt.Check(t, refused.Header().Get(header.Verdict), qt.Equals, verdict.NotRun.String())
	// An earlier arrival of a request with an idempotency key may have run.
	qt.Check(t, send(header.IdempotencyKey).Header().Get(header.Verdict), qt.Equals, verdict.MayHaveRun.String())
	close(release)
	qt.Check(t, <-first, qt.Equals, 200)
	qt.Check(t, send("X-Other").Code, qt.Equals, 200)
}
