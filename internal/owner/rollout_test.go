package owner_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/call"
	"curranthold.example/curranthold/internal/owner"
	"curranthold.example/curranthold/pkg/header"
	"curranthold.example/curranthold/pkg/verdict"
)

type recorded struct {
	route  string
	failed bool
	took   time.Duration
}

// fakeRollout implements owner.Rollout.
type fakeRollout struct {
	leaving, superseded, candidate bool
	responses                      []recorded
}

func (r *fakeRollout) Refusal() (leaving, superseded bool) { return r.leaving, r.superseded }
func (r *fakeRollout) IsCandidate() bool                   { return r.candidate }
func (r *fakeRollout) Record(route string, failed bool, took time.Duration) {
	r.responses = append(r.responses, recorded{route, failed, took})
}

// TestRolloutRefusal guards against calls that run on a version that the rollout does not
// allow, also if an entry knows nothing of it.
func TestRolloutRefusal(t *testing.T) {
	tests := map[string]struct {
		rollout fakeRollout
		marked  bool
		refused bool
	}{
		"in force":                   {},
		"in force, marked":           {marked: true},
		"not in use":                 {rollout: fakeRollout{leaving: true, candidate: true}, marked: true, refused: true},
		"superseded":                 {rollout: fakeRollout{superseded: true}, refused: true},
		"candidate":                  {rollout: fakeRollout{candidate: true}, marked: true},
		"candidate, by an old entry": {rollout: fakeRollout{candidate: true}, refused: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				if test.refused {
					t.Error("the call reached the backend server")
				}
			}))
			defer server.Close()
			r := request()
			r.Candidate = test.marked
			var answer call.Answer
			newOwner(t, server.Listener.Addr().String(), owner.Config{Rollout: &test.rollout}).Call(context.Background(), r, &answer)
			qt.Assert(t, answer.Err != nil, qt.Equals, test.refused)
			qt.Check(t, answer.Load.Leaving, qt.Equals, test.rollout.leaving)
			qt.Check(t, answer.Load.Superseded, qt.Equals, test.rollout.superseded)
			if test.refused {
				qt.Check(t, answer.Err.Verdict, qt.Equals, verdict.NotRun)
				qt.Check(t, answer.Err.Code, qt.Equals, verdict.Leaving)
				qt.Check(t, test.rollout.responses, qt.HasLen, 0)
			}
		})
	}
}

// TestRolloutEvidence guards against evidence that blames a version for what its nested calls
// did, or that leaves out what it did itself.
func TestRolloutEvidence(t *testing.T) {
	const nestedTime = 100 * time.Millisecond
	tests := map[string]struct {
		serve  func(w http.ResponseWriter, p *owner.Parent)
		failed []bool
	}{
		"success": {func(http.ResponseWriter, *owner.Parent) {}, []bool{false}},
		"success after a nested call": {func(_ http.ResponseWriter, p *owner.Parent) {
			end := p.BeginNested()
			time.Sleep(nestedTime)
			end()
		}, []bool{false}},
		"failure":         {func(w http.ResponseWriter, _ *owner.Parent) { w.WriteHeader(http.StatusInternalServerError) }, []bool{true}},
		"client's error":  {func(w http.ResponseWriter, _ *owner.Parent) { w.WriteHeader(http.StatusNotFound) }, []bool{false}},
		"broken response": {func(http.ResponseWriter, *owner.Parent) { panic(http.ErrAbortHandler) }, []bool{true}},
		"failed nested call": {func(w http.ResponseWriter, p *owner.Parent) {
			p.NoteFailed()
			w.WriteHeader(http.StatusBadGateway)
		}, nil},
		"broken during a nested call": {func(_ http.ResponseWriter, p *owner.Parent) {
			p.BeginNested()
			panic(http.ErrAbortHandler)
		}, nil},
		"refusal": {func(w http.ResponseWriter, _ *owner.Parent) {
			w.Header().Set(header.Refused, "overloaded")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var o *owner.Owner
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				parent, ok := o.Parent(r.Header.Get(header.CallToken))
				qt.Check(t, ok, qt.IsTrue)
				test.serve(w, parent)
			}))
			defer server.Close()
			var rollout fakeRollout
			o = newOwner(t, server.Listener.Addr().String(), owner.Config{Rollout: &rollout})
			r := request()
			r.Route = "last"
			o.Call(context.Background(), r, new(call.Answer))
			var failed []bool
			for _, got := range rollout.responses {
				failed = append(failed, got.failed)
				qt.Check(t, got.route, qt.Equals, "last")
				qt.Check(t, got.took < nestedTime, qt.IsTrue, qt.Commentf("%v", got.took))
			}
			qt.Check(t, failed, qt.DeepEquals, test.failed)
		})
	}
}
