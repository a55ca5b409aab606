package standin

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"

	"github.com/julienschmidt/httprouter"
)

// maxControlBytes bounds the body of a request that sets faults.
const maxControlBytes = 64 << 10

// faultControl holds the faults of a stand-in, which can be changed while it runs.
type faultControl[T any] struct {
	mu     sync.Mutex
	faults T
}

func (c *faultControl[T]) get() T {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faults
}

func (c *faultControl[T]) set(faults T) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = faults
}

// resetFlag sets a boolean fault to false and returns its previous value.
func (c *faultControl[T]) resetFlag(field func(*T) *bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	flag := field(&c.faults)
	was := *flag
	*flag = false
	return was
}

// serveGet responds with the current faults.
func (c *faultControl[T]) serveGet(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(w, http.StatusOK, c.get())
}

// servePost sets the faults that are present in the body, keeps the others, and
// responds with all of them. It rejects unknown fields.
func (c *faultControl[T]) servePost(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	c.mu.Lock()
	defer c.mu.Unlock()
	faults := c.faults
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.faults = faults
	writeJSON(w, http.StatusOK, faults)
}

// randomSource makes random choices that are reproducible from its seed. It is
// safe for concurrent use.
type randomSource struct {
	mu     sync.Mutex
	random *rand.Rand
}

func newRandomSource(seed uint64) *randomSource {
	return &randomSource{random: rand.New(rand.NewPCG(seed, seed))}
}

// chance returns true with the given probability.
func (r *randomSource) chance(probability float64) bool {
	return probability > 0 && r.float() < probability
}

// float returns a random number in [0, 1).
func (r *randomSource) float() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.Float64()
}
