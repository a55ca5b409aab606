package clientlimit

import (
	"container/list"
	"time"
)

// State is what a connection of a client is doing.
type State int

// The states of a connection.
const (
	// Reading means that the first head is awaited, or that a head is being read.
	Reading State = iota
	// Active means that a request is in progress.
	Active
	// Idle means that the connection waits for its next request.
	Idle
)

// Gate bounds the connections of one listener.
type Gate struct {
	budget *Budget
	limit  int
	open   int
}

// Gate returns the gate of a listener with at most limit connections; 0 means any
// number. The budget may be nil.
func (b *Budget) Gate(limit int) *Gate {
	if b == nil {
		b = new(Budget)
	}
	return &Gate{budget: b, limit: limit}
}

// Client is one connection of a client.
type Client struct {
	gate    *Gate
	element *list.Element
	// end closes the connection, after the refusal of a request if refuse is set.
	end   func(refuse bool)
	state State
	// head is the cost of the head that is being read.
	head int64
	// ahead is the cost of what net/http may have in its buffer and not read yet. Behind
	// a request it may belong to the next heads.
	ahead int64
	// aheadAt is when the last of it was received, and aheadWait how long it had waited
	// when the request before it ended; 0 if it can't belong to a head.
	aheadAt   time.Time
	aheadWait time.Duration
	ended     bool
}

// Admit admits a new connection. If there are too many, it closes the one whose state
// has not changed for longest, among those without a request in progress. It returns
// nil if each has one. End may be called by any goroutine, at most once.
func (g *Gate) Admit(end func(refuse bool)) *Client {
	b := g.budget
	b.mu.Lock()
	var victims []*Client
	for g.full() {
		victim := g.leastRecent()
		if victim == nil {
			b.mu.Unlock()
			closeAll(victims, false)
			return nil
		}
		victim.remove()
		victims = append(victims, victim)
	}
	c := &Client{gate: g, end: end}
	c.element = b.clients.PushBack(c)
	g.open++
	b.inUse[Connections].Add(connectionBytes)
	b.mu.Unlock()
	b.recordPeak()
	closeAll(victims, false)
	return c
}

func closeAll(victims []*Client, refuse bool) {
	for _, victim := range victims {
		victim.end(refuse)
	}
}

// full reports whether there is no room for another connection.
func (g *Gate) full() bool {
	b := g.budget
	limit := b.limits[Connections]
	overMemory := limit > 0 && b.inUse[Connections].Load()+connectionBytes > limit
	full := overMemory || (g.limit > 0 && g.open >= g.limit)
	if full {
		b.refused(Connections)
	}
	return full
}

// leastRecent returns the connection of this gate without a request in progress whose
// state has not changed for longest, or nil.
func (g *Gate) leastRecent() *Client {
	for e := g.budget.clients.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*Client); c.gate == g && c.state != Active {
			return c
		}
	}
	return nil
}

// SetState records a change of the connection's state. It reports false if the
// connection has been ended: a request that was read must not run.
func (c *Client) SetState(state State) bool {
	b := c.gate.budget
	b.mu.Lock()
	if c.ended {
		b.mu.Unlock()
		return false
	}
	c.state = state
	c.charge(-c.head)
	switch {
	case state == Idle && c.ahead > 0:
		c.charge(c.ahead)
		c.aheadWait = time.Since(c.aheadAt)
	case state == Active && c.aheadWait > 0:
		metricPipelined.Record(c.aheadWait)
		c.aheadWait = 0
	}
	b.clients.MoveToBack(c.element)
	victims := b.shed()
	open := !c.ended
	b.mu.Unlock()
	closeAll(victims, true)
	return open
}

// Await records that nothing more than a few bytes of the next head has been received on
// an idle connection.
func (c *Client) Await() {
	b := c.gate.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !c.ended && c.state == Idle {
		c.charge(-c.head)
		c.ahead, c.aheadWait = 0, 0
	}
}

// IsEnded reports whether the connection has been ended to make room for others.
func (c *Client) IsEnded() bool {
	b := c.gate.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	return c.ended
}

// Received records that bytes with the given number of line feeds were received. If the
// heads that are being read exceed their part of the budget, the connection with the
// most expensive one is ended. Received reports whether this connection is still open.
func (c *Client) Received(bytes, lines int) bool {
	b := c.gate.budget
	cost := headCost(int64(bytes), int64(lines))
	b.mu.Lock()
	if c.ended {
		b.mu.Unlock()
		return false
	}
	c.receivedAhead(bytes, cost)
	if c.state == Active {
		b.mu.Unlock()
		return true
	}
	if c.state == Idle {
		c.state = Reading
		b.clients.MoveToBack(c.element)
	}
	c.charge(cost)
	victims := b.shed()
	open := !c.ended
	b.mu.Unlock()
	b.recordPeak()
	closeAll(victims, true)
	return open
}

// shed removes the connections with the most expensive heads until the others are
// within their part of the budget, which must be locked. The caller ends them.
func (b *Budget) shed() (victims []*Client) {
	for b.limits[Heads] > 0 && b.inUse[Heads].Load() > b.limits[Heads] {
		victim := b.mostExpensive()
		b.refused(Heads)
		victim.remove()
		victims = append(victims, victim)
	}
	return victims
}

// readerBytes is the size of the buffer in which net/http reads ahead.
const readerBytes = 4 << 10

// receivedAhead updates ahead. Only bytes of the last read can be in the buffer, and part
// of a line before them: net/http reads when the buffer has no whole line left, and reads
// larger parts of a body past it. A single byte is read beside the buffer, to notice that
// the client has left.
func (c *Client) receivedAhead(bytes int, cost int64) {
	c.aheadAt = time.Now()
	switch {
	case bytes == 1:
		c.ahead = min(c.ahead+cost, headCost(readerBytes, readerBytes))
	case bytes <= readerBytes:
		c.ahead = cost
	default:
		c.ahead = 0
	}
}

// mostExpensive returns the connection with the most expensive head. There must be one.
func (b *Budget) mostExpensive() (most *Client) {
	for e := b.clients.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*Client); most == nil || c.head > most.head {
			most = c
		}
	}
	return most
}

// charge changes the cost of the connection's head. The budget must be locked.
func (c *Client) charge(cost int64) {
	c.head += cost
	c.gate.budget.inUse[Heads].Add(cost)
}

// Leave records that the connection was closed.
func (c *Client) Leave() {
	c.gate.budget.mu.Lock()
	defer c.gate.budget.mu.Unlock()
	if !c.ended {
		c.remove()
	}
}

// remove removes the connection from the budget, which must be locked.
func (c *Client) remove() {
	b := c.gate.budget
	c.ended = true
	c.charge(-c.head)
	b.clients.Remove(c.element)
	c.gate.open--
	b.inUse[Connections].Add(-connectionBytes)
}
