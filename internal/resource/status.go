package resource

import (
	"encoding/json"
	"math"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"curranthold.example/curranthold/internal/configuration"
	"curranthold.example/curranthold/pkg/client"
	"curranthold.example/curranthold/pkg/object"
)

// watchWriteTimeout bounds the time to write one batch of changes to a watcher.
const watchWriteTimeout = 10 * time.Second

func (s *server) status(w http.ResponseWriter, r *http.Request, _ httprouter.Params, _ string) {
	c := s.config.Configuration
	status := client.Status{
		Host:             s.config.Host,
		AvailabilityZone: s.config.Zone,
		Generation:       c.Snapshot().Generation(),
		IsolatedMs:       -1,
	}
	select {
	case <-c.Ready():
		status.Ready = true
	default:
	}
	generation, err := c.TableGeneration(r.Context())
	if err == nil {
		status.Table = client.TableStatus{Reachable: true, Generation: generation}
	}
	if isolated := c.IsolatedFor(); isolated != math.MaxInt64 {
		status.IsolatedMs = isolated.Milliseconds()
	}
	status.InForceGeneration = max(generation, status.Generation)
	status.InForce = c.Survey(r.Context(), status.InForceGeneration).Confirmation(status.InForceGeneration)
	writeJSON(w, http.StatusOK, status)
}

// watch streams the changes to objects of a kind after a generation, one JSON
// object per line, until the client disconnects or this node no longer holds the
// next changes.
func (s *server) watch(w http.ResponseWriter, r *http.Request, kind object.Kind) {
	after, refusal := queryNumber(r, "watch", 0)
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	select {
	case s.watches <- struct{}{}:
		defer func() { <-s.watches }()
	default:
		writeRefusal(w, object.NewRefusal(object.TooMany, "watch another node", "this node serves %d watches already", maxWatches))
		return
	}
	countWatches.Add(1)
	changes, ok := s.config.Configuration.Changes(after)
	if !ok {
		writeRefusal(w, changesGone(after))
		return
	}
	w.Header().Set("Content-Type", "application/jsonl")
	w.WriteHeader(http.StatusOK)
	writer := watchWriter{w: w, kind: kind}
	for writer.write(changes) {
		if len(changes) > 0 {
			after = changes[len(changes)-1].Generation
		}
		if s.config.Configuration.AwaitAfter(r.Context(), after) != nil {
			return
		}
		if changes, ok = s.config.Configuration.Changes(after); !ok {
			return
		}
	}
}

func changesGone(after uint64) *object.Refusal {
	return object.NewRefusal(object.Gone, "list the objects and watch from the list's generation", "this node no longer holds the changes after generation %d", after)
}

// watchWriter writes the events of one watch.
type watchWriter struct {
	w    http.ResponseWriter
	kind object.Kind
}

// write writes the changes to objects of the watched kind and reports whether it
// succeeded.
func (l watchWriter) write(changes []configuration.Change) bool {
	controller := http.NewResponseController(l.w)
	_ = controller.SetWriteDeadline(time.Now().Add(watchWriteTimeout)) // Fails only in tests, with httptest.ResponseRecorder.
	encoder := json.NewEncoder(l.w)
	for _, change := range changes {
		for _, entry := range change.Entries {
			if entry.ID.Kind != l.kind {
				continue
			}
			message, err := eventMessage(change.Generation, entry)
			if err != nil || encoder.Encode(message) != nil {
				return false
			}
		}
	}
	return controller.Flush() == nil
}

func eventMessage(generation uint64, entry configuration.Entry) (client.Event, error) {
	message := client.Event{Type: client.EventDelete, Generation: generation, ID: entry.ID}
	if len(entry.Data) == 0 {
		return message, nil
	}
	o, err := object.Decode(entry.Data)
	if err != nil {
		return message, err
	}
	redacted := o.Redacted()
	message.Type, message.Object = client.EventPut, &redacted
	return message, nil
}
