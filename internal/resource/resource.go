// Package resource serves the resource API, which operators use to declare
// objects and watch their state. Every node serves it. docs/API.md describes it.
package resource

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	"curranthold.example/curranthold/internal/audit"
	"curranthold.example/curranthold/internal/configuration"
	"curranthold.example/curranthold/internal/event"
	"curranthold.example/curranthold/internal/platform"
	"curranthold.example/curranthold/pkg/client"
	"curranthold.example/curranthold/pkg/header"
	"curranthold.example/curranthold/pkg/object"
)

const (
	// maxBodyBytes bounds the body of a request.
	maxBodyBytes = 1 << 20
	// bodyTimeout bounds the time to read the body.
	bodyTimeout = 10 * time.Second
	// operationTimeout bounds the time to apply an operation. An operation
	// continues after the operator disconnects, so that its outcome is known.
	operationTimeout = 8 * time.Second
	// maxWatches bounds the number of concurrent watches of a node.
	maxWatches = 64
)

// Configuration is what the API needs of the node's configuration.
// [configuration.Replica] implements it.
type Configuration interface {
	Snapshot() *configuration.Snapshot
	Apply(ctx context.Context, op configuration.Operation) (configuration.Result, error)
	Check(op configuration.Operation) (configuration.Result, error)
	Changes(after uint64) ([]configuration.Change, bool)
	AwaitAfter(ctx context.Context, generation uint64) error
	Survey(ctx context.Context, generation uint64) configuration.Survey
	TableGeneration(ctx context.Context) (uint64, error)
	IsolatedFor() time.Duration
	Ready() <-chan struct{}
}

// Rollouts reports the state of rollouts.
type Rollouts interface {
	// RolloutStatus returns the state of the service's last rollout; ok is false if none
	// is known. The error means that the table service is out of reach.
	RolloutStatus(ctx context.Context, service string) (status client.Rollout, ok bool, err error)
}

// Config configures the handler. Configuration and Table are required.
type Config struct {
	Host          string
	Zone          string
	Configuration Configuration
	// Table stores the audit trail.
	Table platform.Table
	// Operators maps the SHA-256 of each operator's token, in hexadecimal, to the
	// operator's name.
	Operators map[string]string
	// Rollouts is nil if the settings disable rollouts.
	Rollouts Rollouts
}

// server serves the API.
type server struct {
	config  Config
	watches chan struct{}
}

// operatorHandler is a handler that receives the name of the operator.
type operatorHandler func(w http.ResponseWriter, r *http.Request, p httprouter.Params, operator string)

// New returns the handler of the paths under /v1/.
func New(config Config) http.Handler {
	s := &server{config: config, watches: make(chan struct{}, maxWatches)}
	router := httprouter.New()
	router.RedirectTrailingSlash = false
	router.RedirectFixedPath = false
	router.NotFound = http.HandlerFunc(notFound)
	router.MethodNotAllowed = http.HandlerFunc(methodNotAllowed)
	router.PanicHandler = handlePanic

	router.GET("/v1/status", s.authorized(s.status))
	router.GET("/v1/audit", s.ready(s.audit))
	router.GET("/v1/rollouts", s.ready(s.listRollouts))
	router.GET("/v1/rollouts/:name", s.ready(s.getRollout))
	router.GET("/v1/objects/:kind", s.ready(s.list))
	router.GET("/v1/objects/:kind/:name", s.ready(s.get))
	router.POST("/v1/objects", s.ready(s.apply))
	router.POST("/v1/objects/:kind", s.ready(s.create))
	router.PUT("/v1/objects/:kind/:name", s.ready(s.replace))
	router.DELETE("/v1/objects/:kind/:name", s.ready(s.delete))
	router.POST("/v1/check", s.ready(s.check))
	router.POST("/v1/keys", s.ready(s.createKey))
	router.POST("/v1/keys/:name/withdraw", s.ready(s.withdrawKey))
	router.POST("/v1/availability-zones/:name/:direction", s.ready(s.setZone))
	return router
}

// ready wraps a handler that needs the node's configuration: it authenticates the
// operator and refuses requests until the configuration is ready.
func (s *server) ready(next operatorHandler) httprouter.Handle {
	return s.authorized(func(w http.ResponseWriter, r *http.Request, p httprouter.Params, operator string) {
		select {
		case <-s.config.Configuration.Ready():
			next(w, r, p, operator)
		default:
			writeRefusal(w, object.NewRefusal(object.NotReady, "ask another node", "this node has not learned the latest configuration yet"))
		}
	})
}

// authorized wraps a handler so that only operators can use it.
func (s *server) authorized(next operatorHandler) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		countRequests.Add(1)
		operator, ok := s.operator(r)
		if !ok {
			countUnauthorized.Add(1)
			eventUnauthorized.Log(event.Fields{"path": r.URL.Path, "remote": r.RemoteAddr})
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeRefusal(w, object.NewRefusal(object.Unauthorized, "send an operator's token as Authorization: Bearer TOKEN", "the request carries no valid operator's token"))
			return
		}
		next(w, r, p, operator)
	}
}

// operator returns the name of the operator whose token the request carries.
// Tokens are looked up by their hashes, so the response time reveals nothing about
// them.
func (s *server) operator(r *http.Request) (string, bool) {
	token, ok := strings.CutPrefix(r.Header.Get(header.Operator), "Bearer ")
	if !ok || token == "" {
		return "", false
	}
	sum := sha256.Sum256([]byte(token))
	name, ok := s.config.Operators[hex.EncodeToString(sum[:])]
	return name, ok && name != ""
}

// defaultAuditLimit is the number of audit records in a response if the request gives
// no limit.
const defaultAuditLimit = 50

func (s *server) audit(w http.ResponseWriter, r *http.Request, _ httprouter.Params, _ string) {
	after, refusal := queryNumber(r, "after", 0)
	limit, limitRefusal := queryNumber(r, "limit", defaultAuditLimit)
	if refusal == nil {
		refusal = limitRefusal
	}
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	limit = max(1, min(limit, audit.MaxPage))
	ctx, cancel := context.WithTimeout(r.Context(), operationTimeout)
	defer cancel()
	records, err := audit.Read(ctx, s.config.Table, after, int(limit))
	if err != nil {
		writeRefusal(w, object.NewRefusal(object.PlatformUnavailable, "try again later", "the table service does not answer"))
		return
	}
	writeJSON(w, http.StatusOK, auditMessage(records, int(limit)))
}
