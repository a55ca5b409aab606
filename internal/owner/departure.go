package owner

// maxDepartures bounds the number of incarnations that departures holds.
const maxDepartures = 64

// departures holds the instances that have said that they leave, or that have departed. If
// there are too many, it forgets the one that was used least recently. The zero value is
// empty.
type departures struct {
	byIncarnation map[string]*departure
	// uses counts the calls that used an entry.
	uses uint64
}

// departure is the departure of the instances of one incarnation.
type departure struct {
	// startMs is the start time of the latest that departed, in Unix milliseconds.
	startMs int64
	// used is the number of the call that used the entry last.
	used uint64
}

// add records that the instances of the incarnation that started at startMs or before have
// departed.
func (d *departures) add(incarnation string, startMs int64) {
	found := d.byIncarnation[incarnation]
	if found == nil {
		if len(d.byIncarnation) >= maxDepartures {
			d.forgetOne()
		}
		if d.byIncarnation == nil {
			d.byIncarnation = make(map[string]*departure)
		}
		found = &departure{startMs: startMs}
		d.byIncarnation[incarnation] = found
	}
	found.startMs = max(found.startMs, startMs)
	d.use(found)
}

// contains reports whether the instance has departed.
func (d *departures) contains(incarnation string, startMs int64) bool {
	found := d.byIncarnation[incarnation]
	if found == nil || startMs > found.startMs {
		return false
	}
	d.use(found)
	return true
}

func (d *departures) use(used *departure) {
	d.uses++
	used.used = d.uses
}

func (d *departures) forgetOne() {
	var oldest string
	for incarnation, candidate := range d.byIncarnation {
		if first := d.byIncarnation[oldest]; first == nil || candidate.used < first.used {
			oldest = incarnation
		}
	}
	delete(d.byIncarnation, oldest)
}
