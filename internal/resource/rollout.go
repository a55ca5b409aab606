package resource

import (
	"context"
	"net/http"
	"slices"
	"strings"

	"github.com/julienschmidt/httprouter"

	"curranthold.example/curranthold/internal/configuration"
	"curranthold.example/curranthold/pkg/client"
	"curranthold.example/curranthold/pkg/object"
)

// stateRunning is the state of a rollout that was ordered a moment ago.
const stateRunning = "running"

func (s *server) getRollout(w http.ResponseWriter, r *http.Request, p httprouter.Params, _ string) {
	service := p.ByName("name")
	status, ok, err := s.rollout(r.Context(), service)
	switch {
	case err != nil:
		writeRefusal(w, err)
	case !ok:
		writeRefusal(w, object.NewRefusal(object.NotFound, "list the objects of kind rollout", "there is no rollout of service %q", service))
	default:
		writeJSON(w, http.StatusOK, status)
	}
}

// listRollouts responds with the states of the ordered rollouts.
func (s *server) listRollouts(w http.ResponseWriter, r *http.Request, _ httprouter.Params, _ string) {
	list := client.Rollouts{Rollouts: []client.Rollout{}}
	ordered := slices.Clone(s.config.Configuration.Snapshot().Rollouts())
	slices.SortFunc(ordered, func(a, b object.Object) int { return strings.Compare(a.Name, b.Name) })
	for _, o := range ordered {
		status, _, err := s.rollout(r.Context(), o.Name)
		if err != nil {
			writeRefusal(w, err)
			return
		}
		list.Rollouts = append(list.Rollouts, status)
	}
	writeJSON(w, http.StatusOK, list)
}

// rollout returns the state of a service's last rollout. One that was ordered a moment
// ago, so that no state is known yet, is running.
func (s *server) rollout(ctx context.Context, service string) (status client.Rollout, ok bool, err error) {
	if s.config.Rollouts == nil {
		return status, false, rolloutsDisabled()
	}
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	status, known, err := s.config.Rollouts.RolloutStatus(ctx, service)
	if err != nil {
		return status, false, object.NewRefusal(object.PlatformUnavailable, "try again later", "the table service does not answer")
	}
	o, ordered := s.config.Configuration.Snapshot().Object(object.ID{Kind: object.KindRollout, Name: service})
	if spec, isRollout := o.Spec.(object.RolloutSpec); ordered && isRollout && (!known || status.Target != spec.Target) {
		return client.Rollout{Service: service, Target: spec.Target, State: stateRunning}, true, nil
	}
	return status, known, nil
}

func rolloutsDisabled() *object.Refusal {
	return object.NewRefusal(object.Invalid, "set canary-percent in the settings of all nodes", "this node's settings disable rollouts")
}

// checkRollouts returns a refusal if a draft orders a rollout although the settings
// disable rollouts: it would never end.
func (s *server) checkRollouts(drafts ...configuration.Draft) error {
	for _, d := range drafts {
		if d.ID.Kind == object.KindRollout && d.Spec != nil && s.config.Rollouts == nil {
			return rolloutsDisabled()
		}
	}
	return nil
}
