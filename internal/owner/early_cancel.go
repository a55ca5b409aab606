package owner

// maxEarlyCancels bounds the cancel messages that are kept.
const maxEarlyCancels = 1024

// earlyCancels holds the latest cancel messages for attempts that were not running.
// Messages on one connection are handled concurrently, so a cancel message can overtake
// its attempt. The zero value is empty.
type earlyCancels struct {
	ids  map[string]struct{}
	ring [maxEarlyCancels]string
	next int
}

// add adds the identifier of an attempt, in place of the oldest.
func (c *earlyCancels) add(id string) {
	if c.ids == nil {
		c.ids = make(map[string]struct{}, maxEarlyCancels)
	}
	delete(c.ids, c.ring[c.next])
	c.ring[c.next] = id
	c.next = (c.next + 1) % maxEarlyCancels
	c.ids[id] = struct{}{}
}

// take removes the identifier and reports whether it was there.
func (c *earlyCancels) take(id string) bool {
	_, ok := c.ids[id]
	delete(c.ids, id)
	return ok
}
