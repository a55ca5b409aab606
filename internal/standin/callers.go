package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"curranthold.example/curranthold/internal/event"
	"curranthold.example/curranthold/pkg/header"
)

const (
	// deadlineGrace is how long a caller waits for a response after the deadline of
	// the call, so that it still learns the outcome.
	deadlineGrace = 500 * time.Millisecond
	// callTimeout bounds a call without a deadline.
	callTimeout = 30 * time.Second
	// ticketBatch is the number of tickets fetched in one request.
	ticketBatch = 100
)

// The codes that callers record for an attempt without a complete response, and for
// a call for which no ticket could be fetched. They record status-NNN for an error
// response without a code. The system sends none of these codes.
const (
	codeNoResponse = "no-answer"
	codeNoTicket   = "no-ticket"
)

// CallersConfig configures the load that callers generate.
type CallersConfig struct {
	// Entries are the addresses of the entry nodes, to which calls are sent.
	Entries []string
	Plan    []Stream
	// Seed seeds the random choices: arrival times and entry nodes.
	Seed uint64
	// MaxInFlight is the largest number of concurrent calls. Further calls are not
	// sent, but counted as unsent.
	MaxInFlight int
	// Calls receives a JSON line for each attempt, as a [CallRecord].
	Calls io.Writer
}

// CallRecord records one attempt of a call. Start is the time before the request is
// sent, and End the time after the response is read.
type CallRecord struct {
	RequestID string `json:"request-id"`
	Account   string `json:"client-account"`
	// Key is the idempotency key or the ticket.
	Key           string    `json:"key"`
	Route         string    `json:"route"`
	Entry         string    `json:"entry"`
	NonRepeatable bool      `json:"non-repeatable"`
	Attempt       int       `json:"attempt"`
	Start         time.Time `json:"start"`
	End           time.Time `json:"end"`
	// Status is the HTTP status, or 0 if there was no complete response.
	Status  int    `json:"status"`
	Verdict string `json:"verdict,omitempty"`
	Code    string `json:"code"`
	// AnswerFor and AnswerAccount are the request ID and the client account in
	// the response body.
	AnswerFor     string `json:"answer-for"`
	AnswerAccount string `json:"answer-account"`
}

// Callers generate the load of a plan, with a bounded number of concurrent calls.
type Callers struct {
	config       CallersConfig
	client       *http.Client
	randomSource *randomSource
	records      recorder
	runID        string
	sequence     atomic.Int64
	inFlight     chan struct{}
	calls        conc.WaitGroup
	runStats     runStats
}

// NewCallers returns callers. Their Run method may be invoked only once.
func NewCallers(config CallersConfig) *Callers {
	transport := &http.Transport{MaxIdleConnsPerHost: config.MaxInFlight, DisableCompression: true}
	return &Callers{
		config:       config,
		client:       &http.Client{Transport: transport},
		randomSource: newRandomSource(config.Seed),
		records:      recorder{w: config.Calls},
		runID:        newRandomID(),
		inFlight:     make(chan struct{}, config.MaxInFlight),
	}
}

// Run makes the calls of the plan, waits for them to end, and returns a report.
// When ctx ends, it starts no further calls, but completes those in progress.
func (c *Callers) Run(ctx context.Context) Report {
	var streams conc.WaitGroup
	for i, stream := range c.config.Plan {
		streams.Go(func() { c.runStream(ctx, stream, newRandomSource(c.config.Seed+uint64(i)+1)) })
	}
	streams.Wait()
	c.calls.Wait()
	c.client.CloseIdleConnections()
	return c.runStats.report()
}

// runStream starts the calls of one stream at random times, with exponentially
// distributed intervals.
func (c *Callers) runStream(ctx context.Context, s Stream, arrivals *randomSource) {
	g := c.runStats.group(s)
	ticketPool := &ticketPool{callers: c, stream: s}
	started := time.Now()
	next := started
	for n := 0; ; n++ {
		interval := -math.Log(1-arrivals.float()) / s.Rate
		next = next.Add(time.Duration(interval * float64(time.Second)))
		if !s.includesCall(n, next.Sub(started)) || !sleepContext(ctx, time.Until(next)) {
			return
		}
		select {
		case c.inFlight <- struct{}{}:
		default:
			g.countUnsent()
			continue
		}
		scheduled := next
		c.calls.Go(func() {
			defer func() { <-c.inFlight }()
			c.call(context.WithoutCancel(ctx), s, g, ticketPool, scheduled)
		})
	}
}

// call makes one call, with all its copies and retries.
func (c *Callers) call(ctx context.Context, s Stream, g *group, ticketPool *ticketPool, scheduled time.Time) {
	timeout := callTimeout
	if s.DeadlineMs > 0 {
		timeout = s.deadline() + deadlineGrace
	}
	ctx, cancel := context.WithDeadline(ctx, scheduled.Add(timeout))
	defer cancel()
	record := CallRecord{
		Account:       s.Account,
		Route:         s.Method + " " + s.Path,
		NonRepeatable: !s.repeatable(),
	}
	if err := c.assignKey(ctx, s, ticketPool, &record); err != nil {
		record.Code = codeNoTicket
		g.countCall(s, record, 0, time.Since(scheduled))
		return
	}
	c.sendCopies(ctx, s, g, record, scheduled)
}

// sendCopies sends all copies of a call concurrently, each with its retries.
func (c *Callers) sendCopies(ctx context.Context, s Stream, g *group, record CallRecord, scheduled time.Time) {
	first := int(c.randomSource.float() * float64(len(c.config.Entries)))
	var copies conc.WaitGroup
	for n := range max(s.Copies, 1) {
		copies.Go(func() { c.sendWithRetries(ctx, s, g, record, scheduled, first+n) })
	}
	copies.Wait()
}

// sendWithRetries sends one copy of a call, and its retries, each to the next
// entry node.
func (c *Callers) sendWithRetries(ctx context.Context, s Stream, g *group, record CallRecord, scheduled time.Time, first int) {
	attempts := 0
	for attempts <= s.Retries && (attempts == 0 || ctx.Err() == nil && s.hasTimeLeft(scheduled)) {
		record.Entry = c.config.Entries[(first+attempts)%len(c.config.Entries)]
		attempts++
		record.Attempt = attempts
		c.attempt(ctx, s, scheduled, &record)
		if record.Status == http.StatusOK {
			break
		}
	}
	g.countCall(s, record, attempts, time.Since(scheduled))
}

// assignKey gives a non-repeatable call its idempotency key or ticket, in
// record.Key.
func (c *Callers) assignKey(ctx context.Context, s Stream, ticketPool *ticketPool, record *CallRecord) error {
	var err error
	switch s.NonRepeatable {
	case NonRepeatableKey:
		record.Key = c.newID("key")
	case NonRepeatableTicket:
		record.Key, err = ticketPool.take(ctx)
	}
	return err
}

// newID returns an ID that is unique across calls, runs and processes.
func (c *Callers) newID(kind string) string {
	return kind + "-" + c.runID + "-" + strconv.FormatInt(c.sequence.Add(1), 10)
}

// randomEntry returns the address of a random entry node.
func (c *Callers) randomEntry() string {
	return c.config.Entries[int(c.randomSource.float()*float64(len(c.config.Entries)))]
}

// attempt makes one attempt, and fills in and writes its record.
func (c *Callers) attempt(ctx context.Context, s Stream, scheduled time.Time, record *CallRecord) {
	record.RequestID = c.newID("request")
	record.Start = time.Now()
	record.Status, record.Verdict, record.Code = 0, "", ""
	record.AnswerFor, record.AnswerAccount = "", ""
	if err := c.exchange(ctx, s, scheduled, record); err != nil {
		record.Status, record.Code = 0, codeNoResponse
	}
	record.End = time.Now()
	if err := c.records.record(record); err != nil {
		eventRecordFailed.Log(event.Fields{"error": err.Error()})
	}
}

// exchange sends the request of one attempt and reads the response into record.
func (c *Callers) exchange(ctx context.Context, s Stream, scheduled time.Time, record *CallRecord) error {
	url := "http://" + record.Entry + s.Path
	req, err := http.NewRequestWithContext(ctx, s.Method, url, strings.NewReader(s.Body))
	if err != nil {
		return err
	}
	req.Header.Set(header.RequestID, record.RequestID)
	setNonEmpty(req, header.Key, s.Key)
	switch s.NonRepeatable {
	case NonRepeatableKey:
		req.Header.Set(header.IdempotencyKey, record.Key)
	case NonRepeatableTicket:
		req.Header.Set(header.Ticket, record.Key)
	}
	if s.DeadlineMs > 0 {
		remaining := max(0, time.Until(scheduled.Add(s.deadline())))
		req.Header.Set(header.Deadline, strconv.FormatInt(remaining.Milliseconds(), 10))
	}
	got, err := fetch(c.client, req)
	if err != nil {
		return err
	}
	return record.fill(got)
}

func setNonEmpty(req *http.Request, name, value string) {
	if value != "" {
		req.Header.Set(name, value)
	}
}

// fill sets the fields of the record that describe the response.
func (r *CallRecord) fill(got receivedResponse) error {
	r.Status = got.status
	r.Verdict = got.header.Get(header.Verdict)
	if r.Status == http.StatusOK {
		var a Answer
		err := json.Unmarshal(got.body, &a)
		r.AnswerFor, r.AnswerAccount = a.RequestID, a.Account
		return err
	}
	var e errorBody
	_ = json.Unmarshal(got.body, &e)
	r.Code = e.Code
	if r.Code == "" {
		r.Code = fmt.Sprintf("status-%d", r.Status)
	}
	if r.Verdict == "" {
		r.Verdict = e.Verdict
	}
	return nil
}

// ticketPool holds the unused tickets of a stream.
type ticketPool struct {
	callers *Callers
	stream  Stream

	mu     sync.Mutex
	unused []string
}

// ticketsResponse is the response body of a request for tickets.
type ticketsResponse struct {
	Tickets []string `json:"tickets"`
}

// take removes one ticket from the pool and returns it. It fetches more tickets
// if the pool is empty.
func (t *ticketPool) take(ctx context.Context) (string, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.unused) == 0 {
		unused, err := t.fetch(ctx)
		if err != nil {
			return "", err
		}
		t.unused = unused
	}
	ticket := t.unused[0]
	t.unused = t.unused[1:]
	return ticket, nil
}

func (t *ticketPool) fetch(ctx context.Context) ([]string, error) {
	url := fmt.Sprintf("http://%s/v1/tickets?count=%d", t.callers.randomEntry(), ticketBatch)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return nil, err
	}
	setNonEmpty(req, header.Key, t.stream.Key)
	got, err := fetch(t.callers.client, req)
	if err != nil {
		return nil, err
	}
	if got.status != http.StatusOK {
		return nil, fmt.Errorf("tickets: status %d", got.status)
	}
	var response ticketsResponse
	if err := json.Unmarshal(got.body, &response); err != nil {
		return nil, fmt.Errorf("tickets: %w", err)
	}
	if len(response.Tickets) == 0 {
		return nil, errors.New("tickets: none issued")
	}
	return response.Tickets, nil
}
