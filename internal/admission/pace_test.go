package admission_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/admission"
	"curranthold.example/curranthold/internal/history"
	"curranthold.example/curranthold/pkg/object"
)

// TestPace sends about 11 times the rate that a cold backend server can handle,
// starting before it turns cold, and counts the requests that start in any
// second. It also checks that the announced rate is used, and that the rate is
// no longer limited once the backend server is warm.
func TestPace(t *testing.T) {
	const rate, slots = 44.0, 294
	tests := map[string]struct {
		nested, urgent bool
	}{
		"root requests":   {},
		"nested calls":    {nested: true},
		"urgent requests": {urgent: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := admission.New(admission.Config{})
				defer c.Close()
				announce := func(coldFor time.Duration) {
					c.Announce(admission.Announcement{
						Slots: slots, Incarnation: "one", Cold: coldFor > 0, ColdRate: rate, ColdRemaining: coldFor,
					})
				}
				announce(0)
				request := admission.Request{Urgency: object.Normal, MaxWait: 100 * time.Millisecond}
				if test.nested {
					request.Depth = 1
				}
				if test.urgent {
					request.Urgency = object.Urgent
				}
				started := make(chan time.Time, 10_000)
				var calls sync.WaitGroup
				call := func() {
					permit, err := c.Acquire(context.Background(), request)
					if err != nil {
						return
					}
					started <- time.Now()
					time.Sleep(15 * time.Millisecond)
					permit.Done(admission.Succeeded)
				}
				var cold time.Time
				for i := range 4000 {
					switch i {
					case 1000:
						cold = time.Now()
						announce(3 * time.Second)
					case 1750:
						announce(1500 * time.Millisecond)
					}
					calls.Go(call)
					time.Sleep(2 * time.Millisecond)
				}
				calls.Wait()
				close(started)
				var paced []time.Time
				after := 0
				for at := range started {
					switch {
					case at.Before(cold):
					case at.Sub(cold) < 3*time.Second:
						paced = append(paced, at)
					default:
						after++
					}
				}
				qt.Check(t, float64(history.MaxInWindow(paced, time.Second)) <= rate*1.5+5, qt.IsTrue, qt.Commentf("%d requests started within a second", history.MaxInWindow(paced, time.Second)))
				qt.Check(t, float64(len(paced)) > 3*rate*0.9, qt.IsTrue, qt.Commentf("%d requests started in 3 s of cold start", len(paced)))
				qt.Check(t, after > 1400, qt.IsTrue, qt.Commentf("%d of 1500 requests started after the cold start", after))
			})
		})
	}
}
