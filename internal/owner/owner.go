// Package owner admits calls for the backend server on its own host, forwards them,
// and returns the response or an error whose verdict says whether the call may have run.
package owner

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"curranthold.example/curranthold/internal/admission"
	"curranthold.example/curranthold/internal/call"
	"curranthold.example/curranthold/internal/clientlimit"
	"curranthold.example/curranthold/internal/kernel"
	"curranthold.example/curranthold/internal/treeadmit"
	"curranthold.example/curranthold/pkg/object"
	"curranthold.example/curranthold/pkg/verdict"
)

// stageOrder lists the owner's stages in order.
var stageOrder = []string{"memory", "service", "rollout", "admission", "rollout", "backend"}

// stages is the registry of the owner's stages.
var stages kernel.Registry[*Owner, *activeCall]

// Config contains the dependencies and settings of an owner.
type Config struct {
	// Codec writes and reads the headers exchanged with the backend server; nil
	// selects the headers of package header.
	Codec Codec
	// AnswerBytes is the maximum size of the body of a backend server's response.
	AnswerBytes int64
	// AnswerHeaderBytes is the maximum size of the header of a response, with the
	// informational responses before it; 0 means 8 KiB.
	AnswerHeaderBytes int64
	// LargeAnswers is how many bodies of responses above 64 KiB are read at once;
	// more wait. 0 means 3.
	LargeAnswers int
	Admission    *admission.Controller
	// OnBackendChange is called after each change of the backend server on this
	// host. After a withdrawal its argument is the zero Announcement. It may be nil.
	OnBackendChange func(Announcement)
	// IsKeyWithdrawn reports whether the client key with that name is known to be
	// withdrawn. It may be nil.
	IsKeyWithdrawn func(name string) bool
	// Service returns the spec of a service and whether the service is declared. It
	// may be nil.
	Service func(name string) (spec object.ServiceSpec, declared bool)
	// WarmStart makes the concurrency limit start at the slots if the backend server
	// says that it isn't cold and its service is declared without a cold rate, and not
	// fall below half of them.
	WarmStart bool
	// TreeAdmission makes the owner report admission levels: its own, if its service is
	// declared without a cold rate, and those of the services that nested calls use.
	TreeAdmission bool
	// RequestIDTokens makes Parent find a running call by its RequestID instead of a
	// random call token. It is set if backend servers pass on no call tokens.
	RequestIDTokens bool
	// AnnouncementTTL is how long an announcement is valid if it is not repeated;
	// 0 means 4 s.
	AnnouncementTTL time.Duration
	// ColdRateFactor is the call rate allowed for a backend server in cold start, as
	// a multiple of the ColdRate of its service; 0 means 1.
	ColdRateFactor float64
	// Rollout decides which calls are refused during a rollout. It may be nil.
	Rollout Rollout
	// CheckHealth makes a health check of the backend server on this host. A response that
	// is no success may come with an error. Nil makes the owner believe all heartbeats.
	CheckHealth func(ctx context.Context, service string) (Health, error)
	// Clients bounds the memory of calls from other nodes; nil means no bound.
	Clients *clientlimit.Budget
	// IdleTimeout is how long an idle connection to the backend server is kept
	// open; 0 means a minute.
	IdleTimeout time.Duration
}

// activeCall is the state of one call while the owner handles it.
type activeCall struct {
	request *call.Request
	// ownsHeader is set if nothing else uses the request's header.
	ownsHeader bool
	answer     *call.Answer
	permit     *admission.Permit
	parent     *Parent
	// cancel ends the call, and offer decides whether it may still be offered.
	cancel context.CancelFunc
	offer  offer
	// leaving and superseded are what the rollout last said about new calls.
	leaving, superseded bool
}

// Owner handles the calls for the backend server on its host.
type Owner struct {
	config       Config
	handler      kernel.Handler[*activeCall]
	callTokens   callTokens
	waitingCalls waitingCalls
	// beneath holds the admission levels of the services that nested calls use.
	beneath treeadmit.Beneath
	// largeAnswers holds a buffer for each large body that may be read now.
	largeAnswers chan *bytes.Buffer

	// announceMu serializes the changes of the backend server that heartbeats, health
	// checks and departures cause. It is locked before mu, and held while OnBackendChange
	// and Config.Admission are called: neither may wait for a heartbeat.
	announceMu sync.Mutex
	// held tells Run that there is an unconfirmed instance.
	held chan struct{}

	mu      sync.Mutex
	backend *backend
	// running maps the ID of each attempt that the owner is handling to its call.
	running map[string]*activeCall
	// notRun holds the IDs of attempts that have ended with verdict not-run.
	notRun recentIDs
	// earlyCancels are used up by the attempts that they precede.
	earlyCancels  earlyCancels
	lastAnnounced time.Time
	// instance is the instance of the latest heartbeat that was not stale.
	instance instance
	// unconfirmed is an instance that has to be confirmed, nil if there is none.
	unconfirmed *unconfirmed
	departures  departures
}

// New returns an owner without a backend server.
func New(config Config) (*Owner, error) {
	if config.Codec == nil {
		config.Codec = defaultCodec{}
	}
	o := &Owner{config: config, running: make(map[string]*activeCall), held: make(chan struct{}, 1)}
	o.largeAnswers = make(chan *bytes.Buffer, cmp.Or(config.LargeAnswers, defaultLargeAnswers))
	for range cap(o.largeAnswers) {
		o.largeAnswers <- new(bytes.Buffer)
	}
	handler, err := stages.Build(o, stageOrder...)
	if err != nil {
		return nil, err
	}
	o.handler = handler
	return o, nil
}

// Call handles one call and stores its outcome in answer, also if it is an error.
func (o *Owner) Call(ctx context.Context, request *call.Request, answer *call.Answer) {
	o.call(ctx, &activeCall{request: request, answer: answer})
}

// call handles a call. Its request and answer must be set.
func (o *Owner) call(ctx context.Context, c *activeCall) {
	request, answer := c.request, c.answer
	ctx, cancel := context.WithTimeout(ctx, request.Remaining)
	defer cancel()
	c.cancel = cancel
	o.addRunning(c)
	defer o.removeRunning(c)

	answer.ID = request.ID
	defer answer.Seal()
	err := o.handler(ctx, c)
	answer.Load = o.load(c)
	answer.ExtraAttempts = request.ExtraAttempts
	if o.config.TreeAdmission {
		answer.ClosedBeneath = o.beneath.Closed(request.Route, time.Now())
	}
	if c.parent != nil {
		answer.ExtraAttempts = c.parent.close()
		answer.NonRepeatable = c.parent.nonRepeatable.Load()
	}
	if err != nil {
		answer.Status, answer.Header, answer.Body = 0, nil, nil
		answer.Err = verdict.From(err)
		answer.Err.Exhausted = answer.Err.Exhausted || answer.NonRepeatable
		metricRefused.Add(string(answer.Err.Code), 1)
		return
	}
	metricServed.Add(1)
	answer.RefusedBeneath = answer.Status >= http.StatusInternalServerError && c.parent.refused.Load()
	answer.RefusedByLevel = answer.RefusedBeneath && !c.parent.refusedWithoutLevel.Load()
}

// Parent returns the running call with the given call token, or with the given
// RequestID if Config.RequestIDTokens is set.
func (o *Owner) Parent(token string) (*Parent, bool) { return o.callTokens.lookup(token) }

func (o *Owner) addRunning(c *activeCall) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.running[c.request.ID] = c
	if o.earlyCancels.take(c.request.ID) {
		c.cancel()
	}
}

func (o *Owner) removeRunning(c *activeCall) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.running, c.request.ID)
	if c.answer.Err != nil && c.answer.Err.Verdict == verdict.NotRun && !c.answer.NonRepeatable {
		o.notRun.add(c.request.ID)
	}
}

// cancel cancels the call with the given attempt identifier, also if it arrives later.
// It reports whether the call is known not to have run and never will: it has ended so,
// or it was not yet offered to the backend server and now won't be. Of a call that has
// not arrived it makes no claim, since early cancels are forgotten after a while.
func (o *Owner) cancel(id string) (notRun bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	c := o.running[id]
	switch {
	case c != nil:
		c.cancel()
		return c.offer.withdraw()
	case o.notRun.contains(id):
		return true
	}
	o.earlyCancels.add(id)
	return false
}

// CancelCalls cancels all calls that the owner is handling. A call that was already
// offered to the backend server ends with verdict may-have-run.
func (o *Owner) CancelCalls() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, c := range o.running {
		c.cancel()
	}
}

// RPC returns the net/rpc receiver for entries on other hosts.
func (o *Owner) RPC() any { return &RPC{owner: o} }

// RPC handles the messages of entries on other hosts.
type RPC struct{ owner *Owner }

// Call handles one call. Nodes of builds before Exchange use it.
func (r *RPC) Call(request *call.Request, answer *call.Answer) error {
	r.owner.call(context.Background(), &activeCall{request: request, answer: answer, ownsHeader: true})
	return nil
}

// Exchange is Call with packed messages.
func (r *RPC) Exchange(packed, reply *call.Packed) error {
	request, err := packed.Request()
	if err != nil {
		return err
	}
	var answer call.Answer
	r.owner.call(context.Background(), &activeCall{request: request, answer: &answer, ownsHeader: true})
	*reply = answer.Pack()
	return nil
}

// Ping returns nil, which shows that the owner is reachable.
func (r *RPC) Ping(*call.Ping, *call.Ping) error { return nil }

// Cancel cancels a call whose entry no longer waits for the answer. The reply says
// whether the call is known not to have run.
func (r *RPC) Cancel(request, reply *call.Cancel) error {
	reply.NotRun = r.owner.cancel(request.ID)
	return nil
}

func init() {
	stages.Register("memory", memoryStage)
	stages.Register("service", serviceStage)
	stages.Register("admission", admissionStage)
	stages.Register("rollout", rolloutStage)
	stages.Register("backend", backendStage)
}

// memoryStage refuses a call from another node for which there is no memory. The entry on
// this host has reserved memory for its own calls. Many entries may send large bodies to
// one owner, whose backend server is slow.
func memoryStage(o *Owner) kernel.Stage[*activeCall] {
	return func(ctx context.Context, c *activeCall, next kernel.Handler[*activeCall]) error {
		if !c.ownsHeader {
			return next(ctx, c)
		}
		cost := clientlimit.HeaderCost(c.request.Header) + clientlimit.BodyCost(int64(len(c.request.Body)))
		if !o.config.Clients.Take(clientlimit.Bodies, cost) {
			return verdict.New(verdict.NotRun, verdict.Overloaded, "this node has no memory for more calls")
		}
		defer o.config.Clients.Return(clientlimit.Bodies, cost)
		return next(ctx, c)
	}
}

// serviceStage refuses a call if the backend server on this host does not serve the
// call's service.
func serviceStage(o *Owner) kernel.Stage[*activeCall] {
	return func(ctx context.Context, c *activeCall, next kernel.Handler[*activeCall]) error {
		b := o.current()
		if b == nil || b.announcement.Service != c.request.Service {
			return verdict.New(verdict.NotRun, verdict.BackendUnreachable,
				"no backend server of %s is announced on this host", c.request.Service)
		}
		return next(ctx, c)
	}
}

// admissionStage waits for admission and reports the outcome of the call to the
// admission controller.
func admissionStage(o *Owner) kernel.Stage[*activeCall] {
	return func(ctx context.Context, c *activeCall, next kernel.Handler[*activeCall]) error {
		arrived := time.Now()
		permit, err := o.admit(ctx, c.request)
		admitted := time.Now()
		metricWait.Record(admitted.Sub(arrived))
		if err != nil {
			return err
		}
		c.permit = permit
		err = next(ctx, c)
		metricBackend.Record(time.Since(admitted))
		outcome := c.outcome(err)
		o.recordResponse(c, outcome)
		permit.Done(outcome)
		return err
	}
}

// admit waits until the admission controller admits the call. It returns an error if
// the call's client key is withdrawn before that.
func (o *Owner) admit(ctx context.Context, r *call.Request) (*admission.Permit, error) {
	ctx, release := o.waitingCalls.add(ctx, r.KeyName)
	defer release()
	if err := o.checkKeyWithdrawn(r.KeyName); err != nil {
		return nil, err
	}
	deadline, _ := ctx.Deadline()
	permit, err := o.config.Admission.Acquire(ctx, admission.Request{
		Account:       r.Account,
		Weight:        r.Weight,
		Urgency:       r.Urgency,
		Depth:         r.Depth,
		Progress:      r.Progress,
		Deadline:      deadline,
		NonRepeatable: r.NonRepeatable,
		MaxWait:       r.Patience,

		AdmitProbability: r.AdmitProbability,
		DemandCounted:    r.DemandCounted,
	})
	if err != nil && errors.Is(context.Cause(ctx), errKeyWithdrawn) {
		return nil, keyWithdrawnError()
	}
	return permit, err
}

// outcome classifies the result of a call for the admission controller.
func (c *activeCall) outcome(err error) admission.Outcome {
	switch {
	case err == nil && c.answer.Status < http.StatusInternalServerError:
		return admission.Succeeded
	case err == nil && c.parent.failed.Load():
		return admission.FailedNested
	case err == nil:
		return admission.Failed
	case verdict.From(err).Code == verdict.BackendRefused:
		return admission.Refused
	case verdict.From(err).Code == verdict.Cancelled, verdict.From(err).Code == verdict.Leaving:
		return admission.Abandoned
	default:
		return admission.Broken
	}
}
