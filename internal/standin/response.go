package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"curranthold.example/curranthold/pkg/header"
)

// swapTimeout bounds how long a response waits for another one with which it can
// be swapped.
const swapTimeout = 200 * time.Millisecond

// preparedResponse is a response that is ready to be written.
type preparedResponse struct {
	requestID string
	account   string
	status    int
	body      []byte
}

// respond writes the response to a request that ran, with the current faults
// applied.
func (b *Backend) respond(ctx context.Context, w http.ResponseWriter, r *http.Request, a Answer, status int) {
	faults := b.faults.get()
	body, err := json.Marshal(a)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	out := preparedResponse{
		requestID: r.Header.Get(header.RequestID),
		account:   r.Header.Get(header.Account),
		status:    status,
		body:      body,
	}
	time.Sleep(time.Duration(faults.ResponseDelayMs) * time.Millisecond)
	if faults.SwapResponses {
		out = b.responseSwapper.exchange(ctx, out)
	}
	writeResponse(w, out, b.randomSource.chance(faults.Truncate))
}

func writeResponse(w http.ResponseWriter, out preparedResponse, truncate bool) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(out.body)))
	w.Header().Set(header.RequestID, out.requestID)
	w.Header().Set(header.Account, out.account)
	w.WriteHeader(out.status)
	if !truncate {
		_, _ = w.Write(out.body)
		return
	}
	_, _ = w.Write(out.body[:len(out.body)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// resetConnection closes the request's connection with a TCP reset.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	abort(conn)
}

// responseSwapper swaps the responses of pairs of concurrent requests.
type responseSwapper struct {
	mu sync.Mutex
	// waiting is the channel on which a waiting request receives an offer. It is
	// nil if no request waits.
	waiting chan swapOffer
}

// swapOffer holds the response of one request, and the channel on which the
// waiting request must send its own.
type swapOffer struct {
	response    preparedResponse
	counterpart chan<- preparedResponse
}

// exchange swaps out with the response of another request and returns that
// response. It returns out if there is no other within swapTimeout.
func (s *responseSwapper) exchange(ctx context.Context, out preparedResponse) preparedResponse {
	s.mu.Lock()
	if s.waiting != nil {
		partner := s.waiting
		s.waiting = nil
		s.mu.Unlock()
		counterpart := make(chan preparedResponse, 1)
		partner <- swapOffer{response: out, counterpart: counterpart}
		return <-counterpart
	}
	offers := make(chan swapOffer, 1)
	s.waiting = offers
	s.mu.Unlock()

	ctx, cancel := context.WithTimeout(ctx, swapTimeout)
	defer cancel()
	select {
	case offer := <-offers:
		offer.counterpart <- out
		return offer.response
	case <-ctx.Done():
		return s.stopWaiting(offers, out)
	}
}

// stopWaiting ends the wait for another request and returns out. If another request
// has already taken the channel offers, it completes the swap instead.
func (s *responseSwapper) stopWaiting(offers chan swapOffer, out preparedResponse) preparedResponse {
	s.mu.Lock()
	unmatched := s.waiting == offers
	if unmatched {
		s.waiting = nil
	}
	s.mu.Unlock()
	if unmatched {
		return out
	}
	offer := <-offers
	offer.counterpart <- out
	return offer.response
}
