package resource

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"expvar"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/apex/log"
	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/configuration"
	"curranthold.example/curranthold/internal/peer"
	"curranthold.example/curranthold/internal/platform"
	"curranthold.example/curranthold/internal/standin"
	"curranthold.example/curranthold/pkg/client"
	"curranthold.example/curranthold/pkg/header"
	"curranthold.example/curranthold/pkg/object"
)

const token = "the-token-of-anna"

// lossyTable is a table that applies commits but reports an unknown outcome for
// the next lostResponses of them.
type lossyTable struct {
	*standin.Table
	lostResponses atomic.Int64
}

func (t *lossyTable) Commit(ctx context.Context, tx platform.Transaction) error {
	if err := t.Table.Commit(ctx, tx); err != nil {
		return err
	}
	if t.lostResponses.Add(-1) >= 0 {
		return platform.ErrOutcomeUnknown
	}
	return nil
}

type noPeers struct{}

func (noPeers) Call(context.Context, string, string, any, any) error { return peer.ErrNotSent }

type fixture struct {
	t     *testing.T
	table *lossyTable
	url   string
	api   *client.Client
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, table: &lossyTable{Table: standin.NewTable()}}
	replica := configuration.New(configuration.Config{Host: "h1", Zone: "zone-a", Table: f.table, Peers: noPeers{}})
	go func() { _ = replica.Run(context.Background()) }()
	t.Cleanup(func() { qt.Check(t, replica.Close(), qt.IsNil) })
	<-replica.Ready()
	sum := sha256.Sum256([]byte(token))
	server := httptest.NewServer(New(Config{
		Host: "h1", Zone: "zone-a", Configuration: replica, Table: f.table,
		Operators: map[string]string{hex.EncodeToString(sum[:]): "anna"},
	}))
	t.Cleanup(server.Close)
	f.url = server.URL
	f.api = &client.Client{Nodes: []string{f.url}, Token: token}
	return f
}

// send makes a request and returns the status and the body of the response.
func (f *fixture) send(method, path, body string, headers ...string) (int, string) {
	r, err := http.NewRequestWithContext(f.t.Context(), method, f.url+path, strings.NewReader(body))
	qt.Assert(f.t, err, qt.IsNil)
	r.Header.Set(header.Operator, "Bearer "+token)
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(r)
	qt.Assert(f.t, err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	qt.Assert(f.t, err, qt.IsNil)
	return response.StatusCode, string(data)
}

const accountA = `{"kind":"client-account","name":"a","spec":{"rate":5,"burst":2}}`

func TestRefusals(t *testing.T) {
	f := newFixture(t)
	status, _ := f.send("POST", "/v1/objects/client-account", accountA)
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	tests := map[string]struct {
		method, path, body string
		headers            []string
		status             int
		code               object.RefusalCode
	}{
		"no token":                  {"GET", "/v1/status", "", []string{header.Operator, ""}, 401, object.Unauthorized},
		"wrong token":               {"GET", "/v1/status", "", []string{header.Operator, "Bearer x"}, 401, object.Unauthorized},
		"hash as token":             {"GET", "/v1/status", "", []string{header.Operator, "Bearer " + hash(token)}, 401, object.Unauthorized},
		"other path":                {"GET", "/v1/other", "", nil, 404, object.NotFound},
		"other method":              {"PATCH", "/v1/status", "", nil, 405, object.MethodNotAllowed},
		"unknown kind":              {"GET", "/v1/objects/thing/a", "", nil, 404, object.NotFound},
		"unknown object":            {"GET", "/v1/objects/service/a", "", nil, 404, object.NotFound},
		"created twice":             {"POST", "/v1/objects/client-account", accountA, nil, 409, object.Conflict},
		"replaced without version":  {"PUT", "/v1/objects/client-account/a", accountA, nil, 409, object.Conflict},
		"wrong version":             {"PUT", "/v1/objects/client-account/a", `{"kind":"client-account","name":"a","resource-version":9,"spec":{"rate":6,"burst":2}}`, nil, 409, object.Conflict},
		"name differs from path":    {"PUT", "/v1/objects/client-account/b", accountA, nil, 422, object.Invalid},
		"kind differs from path":    {"POST", "/v1/objects/service", accountA, nil, 422, object.Invalid},
		"unknown field":             {"POST", "/v1/objects/service", `{"kind":"service","name":"s","spec":{"x":1}}`, nil, 422, object.Invalid},
		"key as an object":          {"POST", "/v1/objects/key", `{"kind":"key","name":"k","spec":{"client-account":"a","salt":"","hash":"","withdrawn":false}}`, nil, 422, object.Invalid},
		"contradiction":             {"POST", "/v1/objects/route", `{"kind":"route","name":"r","spec":{"path-prefix":"/","service":"s","urgency":"normal"}}`, nil, 422, object.Contradiction},
		"check with contradiction":  {"POST", "/v1/check", `{"objects":[{"kind":"route","name":"r","spec":{"path-prefix":"/","service":"s","urgency":"normal"}}]}`, nil, 422, object.Contradiction},
		"delete without version":    {"DELETE", "/v1/objects/client-account/a", "", nil, 422, object.Invalid},
		"delete with other version": {"DELETE", "/v1/objects/client-account/a?resource-version=7", "", nil, 409, object.Conflict},
		"not JSON":                  {"POST", "/v1/objects", "{", nil, 422, object.Invalid},
		"oversized body":            {"POST", "/v1/objects", `{"objects":["` + strings.Repeat("x", maxBodyBytes) + `"]}`, nil, 413, object.TooLarge},
		"invalid operation ID":      {"POST", "/v1/objects/client-account", accountA, []string{header.OperationID, "a/b"}, 422, object.Invalid},
		"watch is not a number":     {"GET", "/v1/objects/client-account?watch=x", "", nil, 422, object.Invalid},
		"audit is not a number":     {"GET", "/v1/audit?after=x", "", nil, 422, object.Invalid},
		"unknown direction":         {"POST", "/v1/availability-zones/zone-a/up", "", nil, 404, object.NotFound},
		"unknown key":               {"POST", "/v1/keys/none/withdraw", "", nil, 404, object.NotFound},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			status, body := f.send(test.method, test.path, test.body, test.headers...)
			var refusal object.Refusal
			qt.Assert(t, json.Unmarshal([]byte(body), &refusal), qt.IsNil, qt.Commentf("%s", body))
			qt.Assert(t, refusal.Code, qt.Equals, test.code, qt.Commentf("%s", body))
			qt.Assert(t, status, qt.Equals, test.status)
			qt.Assert(t, refusal.Message, qt.Not(qt.Equals), "")
		})
	}
	page, err := f.api.Audit(t.Context(), 0, 10)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, page.Records, qt.HasLen, 1)
}

func hash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// TestNoSecretLeaks creates and withdraws a key, and checks that its secret, salt
// and hash are in no other response, metric or log line. The table must not hold
// the secret either.
func TestNoSecretLeaks(t *testing.T) {
	f := newFixture(t)
	var logged logCollector
	logger, ok := log.Log.(*log.Logger)
	qt.Assert(t, ok, qt.IsTrue)
	defer log.SetHandler(logger.Handler)
	log.SetHandler(&logged)
	_, err := f.api.Apply(t.Context(), "op-1", client.Batch{Objects: decode(t, accountA)}, false)
	qt.Assert(t, err, qt.IsNil)
	f.table.lostResponses.Store(1)
	created, err := f.api.CreateKey(t.Context(), "op-2", client.KeyRequest{Name: "k", ClientAccount: "a"})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, strings.HasPrefix(created.Key, "ch1.k."), qt.IsTrue)
	qt.Assert(t, created.Repeated, qt.IsTrue, qt.Commentf("the first commit's outcome was unknown"))

	again, err := f.api.CreateKey(t.Context(), "op-2", client.KeyRequest{Name: "k", ClientAccount: "a"})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, again.Key, qt.Equals, "", qt.Commentf("only the first response shows the key"))
	_, err = f.api.CreateKey(t.Context(), "op-3", client.KeyRequest{Name: "k", ClientAccount: "a"})
	qt.Assert(t, err, qt.IsNotNil)
	secret := strings.TrimPrefix(created.Key, "ch1.k.")
	exposed := err.Error()

	_, err = f.api.WithdrawKey(t.Context(), "op-4", "k")
	qt.Assert(t, err, qt.IsNil)
	for _, path := range []string{"/v1/audit", "/v1/status", "/v1/objects/key", "/v1/objects/key/k"} {
		_, body := f.send("GET", path, "")
		exposed += body
	}
	_, body := f.send("GET", "/v1/objects/key/"+secret, "")
	qt.Assert(t, strings.Contains(body, "not-found"), qt.IsTrue)
	expvar.Do(func(kv expvar.KeyValue) { exposed += kv.Key + kv.Value.String() })
	exposed += logged.String()
	stored := storedKey(t, f.table)
	qt.Assert(t, stored.Withdrawn, qt.IsTrue)
	for _, hidden := range []string{secret, created.Key, stored.Hash, stored.Salt} {
		qt.Assert(t, strings.Contains(exposed, hidden), qt.IsFalse)
	}
	rows, err := f.table.List(t.Context(), "", "", 1000)
	qt.Assert(t, err, qt.IsNil)
	for _, row := range rows {
		qt.Assert(t, bytes.Contains(row.Value, []byte(secret)), qt.IsFalse)
	}
}

// logCollector is a log handler that collects all entries.
type logCollector struct {
	mu   sync.Mutex
	text strings.Builder
}

func (c *logCollector) HandleLog(e *log.Entry) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return json.NewEncoder(&c.text).Encode(e)
}

func (c *logCollector) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.text.String()
}

func decode(t *testing.T, text string) []object.Object {
	o, err := object.Decode([]byte(text))
	qt.Assert(t, err, qt.IsNil)
	return []object.Object{o}
}

func storedKey(t *testing.T, table *lossyTable) object.KeySpec {
	rows, err := table.Get(t.Context(), "configuration/object/key/k")
	qt.Assert(t, err, qt.IsNil)
	o, err := object.Decode(rows[0].Value)
	qt.Assert(t, err, qt.IsNil)
	spec, _ := o.Spec.(object.KeySpec)
	return spec
}

var errSeen = errors.New("seen")

func TestWatch(t *testing.T) {
	f := newFixture(t)
	response, err := http.DefaultClient.Do(f.watch("client-account"))
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	_, err = f.api.Apply(t.Context(), "op-1", client.Batch{Objects: decode(t, accountA)}, false)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, lines.Scan(), qt.IsTrue)
	qt.Assert(t, strings.Contains(lines.Text(), `"type":"put","generation":1`), qt.IsTrue, qt.Commentf("%s", lines.Text()))
	_, err = f.api.Delete(t.Context(), "op-2", object.ID{Kind: "client-account", Name: "a"}, 1, false)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, lines.Scan(), qt.IsTrue)
	qt.Assert(t, strings.Contains(lines.Text(), `"type":"delete","generation":2`), qt.IsTrue, qt.Commentf("%s", lines.Text()))

	var events []client.Event
	err = f.api.Watch(t.Context(), object.KindClientAccount, 0, func(e client.Event) error {
		events = append(events, e)
		if len(events) == 2 {
			return errSeen
		}
		return nil
	})
	qt.Assert(t, err, qt.Equals, errSeen)
}

func (f *fixture) watch(kind string) *http.Request {
	r, err := http.NewRequestWithContext(f.t.Context(), http.MethodGet, f.url+"/v1/objects/"+kind+"?watch=0", nil)
	qt.Assert(f.t, err, qt.IsNil)
	r.Header.Set(header.Operator, "Bearer "+token)
	return r
}
