package entry

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"curranthold.example/curranthold/internal/claim"
	"curranthold.example/curranthold/internal/configuration"
	"curranthold.example/curranthold/internal/kernel"
	"curranthold.example/curranthold/internal/key"
	"curranthold.example/curranthold/internal/pipeline"
	"curranthold.example/curranthold/internal/retry"
	"curranthold.example/curranthold/pkg/verdict"
)

// answerMargin is subtracted from the caller's deadline, so that an error reaches the
// caller in time.
const answerMargin = 5 * time.Millisecond

func init() {
	stages.Register("route", routeStage)
	stages.Register("key", keyStage)
	stages.Register("body", bodyStage)
	stages.Register("deadline", deadlineStage)
	stages.Register("tree", treeStage)
	stages.Register("quota", quotaStage)
	stages.Register("claim", claimStage)
	stages.Register("attempt", attemptStage)
}

// routeStage finds the route of a call. It sets the call's service and, unless they
// are inherited from a parent, its urgency and attempt budget.
func routeStage(e *Entry) kernel.Stage[*activeCall] {
	return func(ctx context.Context, x *activeCall, next kernel.Handler[*activeCall]) error {
		rawPath, _, _ := strings.Cut(x.request.Target, "?")
		snapshot := e.config.Configuration.Snapshot()
		x.generation = snapshot.Generation()
		route, ok := snapshot.RouteByHost(x.request.Host, x.request.Method, rawPath, x.path)
		if !ok {
			return verdict.New(verdict.NotRun, verdict.UnknownRoute, "no route for %s %s", x.request.Method, x.path)
		}
		x.route = route
		x.request.Route = route.Name
		x.request.Service = route.Service(rand.Float64())
		x.request.NonRepeatable = route.Spec.NonRepeatable
		if x.parent == nil {
			x.budget = retry.NewBudget(e.extraAttempts(route))
		}
		switch {
		case x.inferredParent != nil:
			x.request.Urgency = x.inferredParent.Request().Urgency
		case x.parent == nil:
			x.request.Urgency = route.Spec.Urgency
		}
		return next(ctx, x)
	}
}

// extraAttempts returns the number of attempts that a root request on the route may
// make beyond its first.
func (e *Entry) extraAttempts(route *configuration.Route) int {
	if route.Spec.Attempts > 0 {
		return route.Spec.Attempts - 1
	}
	return e.config.ExtraAttempts
}

// keyStage finds the client account of a call by its client key. It clears the key, so
// that no later stage can use it. The name of the key is kept, so that the owner can
// refuse the call if the key is withdrawn while the call waits for admission.
func keyStage(e *Entry) kernel.Stage[*activeCall] {
	return func(ctx context.Context, x *activeCall, next kernel.Handler[*activeCall]) error {
		presented := x.key
		x.key = ""
		if x.route.Spec.Open {
			return next(ctx, x)
		}
		account, err := e.config.Configuration.Authenticate(presented)
		if err != nil {
			return err
		}
		x.request.Account = account
		x.request.KeyName = keyName(presented)
		spec := e.config.Configuration.Snapshot().Accounts()[account]
		x.request.Weight = spec.Rate
		x.request.Urgency = x.request.Urgency.WithRank(spec.Rank)
		return next(ctx, x)
	}
}

// keyName returns the name part of a client key, or "" if the key has none.
func keyName(presented string) string {
	parsed, err := key.Parse(presented)
	if err != nil {
		return ""
	}
	return parsed.Name()
}

// deadlineStage sets the deadline of the call from the smaller of the caller's
// timeout and the route's.
func deadlineStage(e *Entry) kernel.Stage[*activeCall] {
	return func(ctx context.Context, x *activeCall, next kernel.Handler[*activeCall]) error {
		timeout := e.config.DefaultTimeout
		if limit := time.Duration(x.route.Spec.TimeoutMs) * time.Millisecond; limit > 0 {
			timeout = limit
		}
		if x.timeout > 0 {
			timeout = min(timeout, x.timeout)
		}
		deadline := x.arrived.Add(timeout - min(answerMargin, timeout/10))
		ctx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		if err := e.awaitTurn(ctx, x); err != nil {
			return err
		}
		return next(ctx, x)
	}
}

// awaitTurn makes a request that must not run twice wait until all earlier requests of the
// caller's connection are answered. If one of these responses closes the connection, the
// caller sends the request again.
func (e *Entry) awaitTurn(ctx context.Context, x *activeCall) error {
	if x.ticket == "" && x.request.IdempotencyKey == "" && e.mayRepeat(&x.request) {
		return nil
	}
	if err := pipeline.AwaitTurn(ctx); err != nil {
		return verdict.New(verdict.NotRun, verdict.DeadlineExceeded,
			"the requests sent before on this connection are not answered yet")
	}
	return nil
}

// quotaStage charges the call to its client account.
func quotaStage(e *Entry) kernel.Stage[*activeCall] {
	return func(ctx context.Context, x *activeCall, next kernel.Handler[*activeCall]) error {
		if x.request.Account == "" {
			return next(ctx, x)
		}
		if err := e.config.Quota.Spend(ctx, x.request.Account); err != nil {
			return err
		}
		return next(ctx, x)
	}
}

// claimStage ensures that a request with an idempotency key or ticket runs at most
// once. It records the outcome even if the caller has disconnected.
func claimStage(e *Entry) kernel.Stage[*activeCall] {
	return func(ctx context.Context, x *activeCall, next kernel.Handler[*activeCall]) error {
		if x.ticket == "" && x.request.IdempotencyKey == "" {
			return next(ctx, x)
		}
		x.claimed = true
		active, err := e.config.Claims.Begin(ctx, claim.Request{
			Account:        x.request.Account,
			Route:          x.request.Route,
			IdempotencyKey: x.request.IdempotencyKey,
			Ticket:         x.ticket,
		})
		if err != nil {
			return err
		}
		if x.ticket != "" {
			x.request.IdempotencyKey = x.ticket
		}
		err = next(ctx, x)
		outcome, status := verdict.Ran, 0
		if err != nil {
			outcome = verdict.Of(err)
		} else {
			status = x.answer.Status
		}
		if finishErr := active.Finish(context.WithoutCancel(ctx), outcome, status); finishErr != nil {
			metricClaimsUnfinished.Add(1)
		}
		return err
	}
}
