package history

import (
	"fmt"
	"net/http"
	"time"

	"curranthold.example/curranthold/pkg/verdict"
)

// Kind is the kind of a violation, in kebab case.
type Kind string

// The kinds of violation.
const (
	// KeyRanTwice means that requests with the same idempotency key or ticket,
	// client account and route ran more than once.
	KeyRanTwice Kind = "key-ran-twice"
	// RequestRanTwice means that a non-repeatable request ran more than once: runs
	// on one route have the same request identifier.
	RequestRanTwice Kind = "request-ran-twice"
	// NotRunButRan means that a caller was told not-run for a request that ran,
	// before or after the refusal.
	NotRunButRan Kind = "not-run-but-ran"
	// NotRunAfterKeyRan means that a caller was told not-run although a request
	// with the same idempotency key or ticket had run before that call began.
	NotRunAfterKeyRan Kind = "not-run-after-key-ran"
	// MisdirectedAnswer means that a caller got the response to another request or
	// for another client account.
	MisdirectedAnswer Kind = "crossed-answer"
	// AnswerUnidentified means that the body of a response with status 200 did not
	// carry the request identifier, so that the body was incomplete.
	AnswerUnidentified Kind = "answer-unidentified"
	// WrongAccount means that a request ran for a client account although its
	// caller presented the client key of another account or none.
	WrongAccount Kind = "wrong-account"
	// RunWithoutCall means that a request ran for a client account although no
	// call with its identifier was recorded.
	RunWithoutCall Kind = "run-without-call"
	// RanWithoutRun means that a caller was told that its request ran although
	// no backend server ran it.
	RanWithoutRun Kind = "ran-without-run"
)

// Violation is one violation of the guarantees given to callers.
type Violation struct {
	Kind      Kind   `json:"kind"`
	RequestID string `json:"request-id,omitempty"`
	Account   string `json:"client-account,omitempty"`
	Key       string `json:"key,omitempty"`
	Route     string `json:"route,omitempty"`
	// Detail describes the violation for human readers.
	Detail string `json:"detail"`
}

// String returns the violation in one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s: request %q, account %q, key %q, route %q: %s",
		v.Kind, v.RequestID, v.Account, v.Key, v.Route, v.Detail)
}

// requestKey identifies a request on its route. The route is needed because a nested
// call on another route may have the request identifier of its root request.
type requestKey struct {
	id, route string
}

// scopedKey is an idempotency key or ticket with its client account and route. The
// same key of another client account or on another route identifies another request.
type scopedKey struct {
	account, route, key string
}

// checker holds the records, indexed for the checks, and the violations found.
type checker struct {
	runsByRequest  map[requestKey][]Run
	runsByKey      map[scopedKey][]Run
	callsByRequest map[requestKey][]Call
	violations     []Violation
}

// Check returns the violations that the records show: first those of runs, then
// those of calls, each in the order of the records. It compares times of different
// processes, so all of them must use the same clock.
func Check(calls []Call, runs []Run) []Violation {
	c := &checker{
		runsByRequest:  map[requestKey][]Run{},
		runsByKey:      map[scopedKey][]Run{},
		callsByRequest: map[requestKey][]Call{},
	}
	for _, call := range calls {
		request := requestKey{call.RequestID, call.Route}
		c.callsByRequest[request] = append(c.callsByRequest[request], call)
	}
	for _, run := range runs {
		c.checkRun(run)
	}
	for _, call := range calls {
		c.checkCall(call)
	}
	return c.violations
}

// checkRun checks the run against the earlier runs and then adds it to them.
func (c *checker) checkRun(run Run) {
	request := requestKey{run.RequestID, run.Route}
	calls := c.callsByRequest[request]
	if earlier := c.runsByRequest[request]; len(earlier) > 0 && anyNonRepeatable(calls) {
		c.addRun(RequestRanTwice, run, "ran on %s and on %s", earlier[0].Backend, run.Backend)
	}
	c.runsByRequest[request] = append(c.runsByRequest[request], run)

	if run.Key != "" {
		key := scopedKey{run.Account, run.Route, run.Key}
		if earlier := c.runsByKey[key]; len(earlier) > 0 {
			c.addRun(KeyRanTwice, run, "ran on %s as request %q and on %s",
				earlier[0].Backend, earlier[0].RequestID, run.Backend)
		}
		c.runsByKey[key] = append(c.runsByKey[key], run)
	}
	c.checkRunAccount(run, calls)
}

func (c *checker) checkRunAccount(run Run, calls []Call) {
	if run.Account == "" {
		return
	}
	if len(calls) == 0 {
		c.addRun(RunWithoutCall, run, "no call with this identifier is recorded")
		return
	}
	for _, call := range calls {
		if call.Account == run.Account {
			return
		}
	}
	c.addRun(WrongAccount, run, "the call came with the key of account %q", calls[0].Account)
}

func (c *checker) checkCall(call Call) {
	c.checkAnswer(call)
	switch call.Verdict {
	case verdict.NotRun:
		c.checkNotRun(call)
	case verdict.Ran:
		c.checkRan(call)
	}
}

func (c *checker) checkAnswer(call Call) {
	switch {
	case call.AnswerFor != "" && call.AnswerFor != call.RequestID:
		c.addCall(MisdirectedAnswer, call, "got the answer for request %q", call.AnswerFor)
	case call.AnswerAccount != "" && call.AnswerAccount != call.Account:
		c.addCall(MisdirectedAnswer, call, "got an answer for account %q", call.AnswerAccount)
	case call.AnswerFor == "" && call.Code == "" && call.Status == http.StatusOK:
		c.addCall(AnswerUnidentified, call, "the answer carries no request identifier")
	}
}

func (c *checker) checkNotRun(call Call) {
	request := requestKey{call.RequestID, call.Route}
	if runs := c.runsByRequest[request]; len(runs) > 0 {
		c.addCall(NotRunButRan, call, "ran on %s at %s",
			runs[0].Backend, runs[0].At.Format(time.RFC3339Nano))
		return
	}
	if call.Key == "" {
		return
	}
	for _, run := range c.runsByKey[scopedKey{call.Account, call.Route, call.Key}] {
		if run.At.Before(call.Start) {
			c.addCall(NotRunAfterKeyRan, call, "ran before as request %q", run.RequestID)
			return
		}
	}
}

func (c *checker) checkRan(call Call) {
	if len(c.runsByRequest[requestKey{call.RequestID, call.Route}]) > 0 {
		return
	}
	if call.Key != "" && call.Code == string(verdict.AlreadyRan) &&
		len(c.runsByKey[scopedKey{call.Account, call.Route, call.Key}]) > 0 {
		return
	}
	c.addCall(RanWithoutRun, call, "no backend server recorded a run")
}

func (c *checker) addRun(kind Kind, run Run, format string, args ...any) {
	c.violations = append(c.violations, Violation{
		Kind: kind, RequestID: run.RequestID, Account: run.Account,
		Key: run.Key, Route: run.Route, Detail: fmt.Sprintf(format, args...),
	})
}

func (c *checker) addCall(kind Kind, call Call, format string, args ...any) {
	c.violations = append(c.violations, Violation{
		Kind: kind, RequestID: call.RequestID, Account: call.Account,
		Key: call.Key, Route: call.Route, Detail: fmt.Sprintf(format, args...),
	})
}

func anyNonRepeatable(calls []Call) bool {
	for _, call := range calls {
		if call.NonRepeatable {
			return true
		}
	}
	return false
}
