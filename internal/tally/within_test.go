package tally

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/history"
	"curranthold.example/curranthold/internal/quota"
)

// TestRefusedWithinRate has an account send requests at random times to random hosts of a
// large fleet. Within its rate, fewer than one in a thousand may be refused of those that
// a single bucket with half of the burst would allow. Above its rate, as many must be
// allowed as that bucket would allow, since it does not matter which.
func TestRefusedWithinRate(t *testing.T) {
	tests := map[string]struct {
		hosts  int
		rate   float64
		demand float64
	}{
		"16 hosts":                       {16, 20, 0.8},
		"95 hosts, small account":        {95, 5.2, 0.8},
		"95 hosts, at nine tenths":       {95, 13.7, 0.9},
		"95 hosts, at the rate":          {95, 13.7, 1},
		"300 hosts":                      {300, 40, 0.8},
		"300 hosts, a fifth over it":     {300, 40, 1.2},
		"95 hosts, three times its rate": {95, 13.7, 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				limit := quota.Limit{Rate: test.rate, Burst: 2 * test.rate}
				n := fleet(ctx, test.hosts, limit)
				time.Sleep(time.Second)
				half := quota.Limit{Rate: limit.Rate, Burst: limit.Burst / 2}
				single := &referenceBucket{limit: half, level: half.Burst, updated: time.Now()}
				random := rand.New(rand.NewPCG(3, 4))
				ids := slices.Sorted(maps.Keys(n.managers))
				var allowed []time.Time
				owed, refused, sent := 0, 0, 0
				for end := time.Now().Add(2 * time.Minute); time.Now().Before(end); sent++ {
					time.Sleep(time.Duration(random.ExpFloat64() / (test.demand * test.rate) * float64(time.Second)))
					due := single.spend(time.Now())
					if due {
						owed++
					}
					if n.managers[ids[random.IntN(len(ids))]].Spend(context.Background(), "account") == nil {
						allowed = append(allowed, time.Now())
					} else if due {
						refused++
					}
				}
				bound := (limit.Rate*window.Seconds()+limit.Burst)*overage + slack
				t.Logf("%d of %d owed refused, %d sent, %d allowed, at most %d in a window of %.0f", refused, owed, sent, len(allowed), history.MaxInWindow(allowed, window), bound)
				if test.demand < 1 {
					qt.Check(t, float64(refused) <= 0.001*float64(owed), qt.IsTrue, qt.Commentf("%d of %d", refused, owed))
				}
				qt.Check(t, float64(len(allowed)) >= 0.999*float64(owed), qt.IsTrue, qt.Commentf("%d allowed, %d owed", len(allowed), owed))
				qt.Check(t, float64(history.MaxInWindow(allowed, window)) <= bound, qt.IsTrue)
				cancel()
				time.Sleep(time.Second) // Wait for reports in flight.
			})
		})
	}
}
