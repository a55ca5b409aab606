package configuration

import (
	"sync"
	"time"
)

// restoreSettleTime is how long after a restore the parts of the source that operators
// write again are not yet taken for complete.
const restoreSettleTime = time.Second

const (
	// eraSpan is the number of generations in one era of a source. It shows the era in
	// logged generations.
	eraSpan = 100_000_000_000_000
	// versionSpan is the number of generations for one version in a later era than the
	// first. Those after the lowest one are for hosts that refuse an older configuration
	// of that version, so that the next version is still later.
	versionSpan = 100
)

// NewGeneration returns the generation for a version of a source's store in an era. A
// store starts in era 1. Each time it comes back from an older copy, its era rises by
// one and its versions go back. Generations of a later era are higher than all earlier
// ones. Era 0 stands for a store that states none.
func NewGeneration(era, version uint64) uint64 {
	if era <= 1 {
		return version
	}
	return (era-1)*eraSpan + version*versionSpan
}

// Era returns the era of a generation.
func Era(generation uint64) uint64 { return generation/eraSpan + 1 }

// VersionInEra returns the version of the source's store from which a generation was
// made.
func VersionInEra(generation uint64) uint64 {
	if generation < eraSpan {
		return generation
	}
	return generation % eraSpan / versionSpan
}

// sourceEra is the highest era in which a source has answered. The zero value has seen no
// answer.
type sourceEra struct {
	mu    sync.Mutex
	era   uint64
	since time.Time
}

// observe records an answer in the era at the time now. It reports whether the era has
// risen since an earlier answer.
func (e *sourceEra) observe(era uint64, now time.Time) (risen bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if era <= e.era {
		return false
	}
	risen = e.era > 0
	e.era, e.since = era, now
	return risen
}

// settled reports whether the source has answered in its present era for
// restoreSettleTime, or never came back from an older copy.
func (e *sourceEra) settled(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.era <= 1 || now.Sub(e.since) >= restoreSettleTime
}
