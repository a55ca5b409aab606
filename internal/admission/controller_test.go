package admission_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/admission"
	"curranthold.example/curranthold/pkg/object"
	"curranthold.example/curranthold/pkg/verdict"
)

// warm returns a controller that starts at its full limit, with one slot that
// is taken by the returned permit.
func warm(t *testing.T, queueLimit int) (*admission.Controller, *admission.Permit) {
	c := admission.New(admission.Config{QueueLimit: queueLimit, Disabled: admission.ColdRamp})
	c.Announce(admission.Announcement{Slots: 1, Incarnation: "one"})
	permit, err := c.Acquire(t.Context(), admission.Request{})
	qt.Assert(t, err, qt.IsNil)
	return c, permit
}

// TestRefusals ends a queued request in each possible way and checks its error.
func TestRefusals(t *testing.T) {
	tests := map[string]struct {
		request admission.Request
		within  time.Duration // deadline after its arrival; 0 means none
		end     func(*admission.Controller, context.CancelFunc)
		want    verdict.Code // empty means that the request runs
	}{
		"drain": {
			end:  func(c *admission.Controller, _ context.CancelFunc) { c.Drain() },
			want: verdict.Leaving,
		},
		"close": {
			end:  func(c *admission.Controller, _ context.CancelFunc) { c.Close() },
			want: verdict.Leaving,
		},
		"cancelled": {
			end:  func(_ *admission.Controller, cancel context.CancelFunc) { cancel() },
			want: verdict.Cancelled,
		},
		"deadline": {
			within: time.Second,
			end:    func(*admission.Controller, context.CancelFunc) { time.Sleep(time.Second) },
			want:   verdict.DeadlineExceeded,
		},
		"key of the account withdrawn": {
			request: admission.Request{Account: "a"},
			end:     func(c *admission.Controller, _ context.CancelFunc) { c.RefuseAccount("a") },
			want:    verdict.KeyRefused,
		},
		"key of another account withdrawn": {
			request: admission.Request{Account: "a"},
			end:     func(c *admission.Controller, _ context.CancelFunc) { c.RefuseAccount("b") },
		},
		"zone out of service, root request": {
			end:  func(c *admission.Controller, _ context.CancelFunc) { c.SetZoneInService(false) },
			want: verdict.ZoneOutOfService,
		},
		"zone out of service, nested call": {
			request: admission.Request{Depth: 1},
			end:     func(c *admission.Controller, _ context.CancelFunc) { c.SetZoneInService(false) },
		},
		"evicted by a more urgent one": {
			request: admission.Request{Urgency: object.Deferrable},
			end: func(c *admission.Controller, _ context.CancelFunc) {
				go func() {
					permit, err := c.Acquire(context.Background(), admission.Request{Urgency: object.Urgent})
					qt.Check(t, err, qt.IsNil)
					permit.Done(admission.Succeeded)
				}()
			},
			want: verdict.Overloaded,
		},
		"not evicted by a less urgent one": {
			request: admission.Request{Urgency: object.Urgent},
			end: func(c *admission.Controller, _ context.CancelFunc) {
				_, err := c.Acquire(context.Background(), admission.Request{Urgency: object.Normal})
				qt.Check(t, verdict.From(err).Code, qt.Equals, verdict.Overloaded)
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, running := warm(t, 1)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if test.within > 0 {
					test.request.Deadline = time.Now().Add(test.within)
				}
				ended := make(chan error)
				go func() {
					permit, err := c.Acquire(ctx, test.request)
					if err == nil {
						permit.Done(admission.Succeeded)
					}
					ended <- err
				}()
				synctest.Wait()
				test.end(c, cancel)
				synctest.Wait()
				running.Done(admission.Succeeded)
				err := <-ended
				c.Close()
				<-c.Idle()
				if test.want == "" {
					qt.Assert(t, err, qt.IsNil)
					return
				}
				qt.Assert(t, verdict.From(err).Code, qt.Equals, test.want)
				qt.Assert(t, verdict.Of(err), qt.Equals, verdict.NotRun)
			})
		})
	}
}

func TestRefusedOnArrival(t *testing.T) {
	c := admission.New(admission.Config{})
	acquire := func(r admission.Request) verdict.Code {
		permit, err := c.Acquire(t.Context(), r)
		if err != nil {
			qt.Check(t, verdict.Of(err), qt.Equals, verdict.NotRun)
			return verdict.From(err).Code
		}
		permit.Done(admission.Succeeded)
		return ""
	}
	qt.Assert(t, acquire(admission.Request{}), qt.Equals, verdict.ColdStart)
	c.Announce(admission.Announcement{Slots: 10})
	qt.Assert(t, acquire(admission.Request{}), qt.Equals, verdict.Code(""))
	qt.Assert(t, acquire(admission.Request{Deadline: time.Now().Add(-1)}), qt.Equals, verdict.DeadlineExceeded)
	c.SetZoneInService(false)
	qt.Assert(t, acquire(admission.Request{}), qt.Equals, verdict.ZoneOutOfService)
	qt.Assert(t, acquire(admission.Request{Depth: 1}), qt.Equals, verdict.Code(""))
	c.SetZoneInService(true)
	qt.Assert(t, acquire(admission.Request{}), qt.Equals, verdict.Code(""))
	c.Drain()
	qt.Assert(t, acquire(admission.Request{Depth: 1}), qt.Equals, verdict.Leaving)
}

// TestSlotsReturn checks that a backend server that announced no slots for a
// while is used again afterwards.
func TestSlotsReturn(t *testing.T) {
	c := admission.New(admission.Config{})
	for _, slots := range []int{10, 0, 10} {
		c.Announce(admission.Announcement{Slots: slots, Incarnation: "one"})
	}
	qt.Assert(t, c.Load().Limit > 0, qt.IsTrue)
}

func TestContextEnded(t *testing.T) {
	c, _ := warm(t, 0)
	tests := map[verdict.Code]time.Duration{verdict.Cancelled: time.Hour, verdict.DeadlineExceeded: 0}
	for want, timeout := range tests {
		t.Run(string(want), func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			cancel()
			_, err := c.Acquire(ctx, admission.Request{})
			qt.Assert(t, verdict.From(err).Code, qt.Equals, want)
			qt.Assert(t, verdict.Of(err), qt.Equals, verdict.NotRun)
		})
	}
}

func TestDoneCountsOnce(t *testing.T) {
	c, permit := warm(t, 0)
	permit.Done(admission.Succeeded)
	permit.Done(admission.Broken)
	qt.Assert(t, c.Load().InFlight, qt.Equals, 0)
	c.Drain()
	<-c.Idle()
}

// TestAnnouncements checks which announcements start a ramp of the limit.
func TestAnnouncements(t *testing.T) {
	warm := admission.Announcement{Slots: 100, Incarnation: "one"}
	cold := admission.Announcement{Slots: 100, Incarnation: "one", Cold: true}
	tests := map[string]struct {
		second admission.Announcement
		want   int
	}{
		"repeated":            {second: warm, want: 100},
		"changed incarnation": {second: admission.Announcement{Slots: 100, Incarnation: "two"}, want: 5},
		"turned cold":         {second: cold, want: 5},
		"fewer slots":         {second: admission.Announcement{Slots: 40, Incarnation: "one"}, want: 40},
		"fewer connections":   {second: admission.Announcement{Slots: 100, Connections: 30, Incarnation: "one"}, want: 30},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := admission.New(admission.Config{})
				c.Announce(warm)
				qt.Assert(t, c.Load().Limit, qt.Equals, 5)
				saturate(t, c, 5*time.Second)
				qt.Assert(t, c.Load().Limit, qt.Equals, 100)
				c.Announce(test.second)
				qt.Assert(t, c.Load().Limit, qt.Equals, test.want)
				if !test.second.Cold {
					return
				}
				saturate(t, c, time.Second)
				c.Announce(test.second)
				qt.Assert(t, c.Load().Limit, qt.Equals, test.want, qt.Commentf("the backend server still announces that it is cold"))
				c.Announce(warm)
				saturate(t, c, time.Second)
				qt.Assert(t, c.Load().Limit > test.want, qt.IsTrue)
			})
		})
	}
}

// saturate uses the whole limit for the given duration.
func saturate(t *testing.T, c *admission.Controller, duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		var permits []*admission.Permit
		for range c.Load().Limit {
			permit, err := c.Acquire(t.Context(), admission.Request{})
			qt.Assert(t, err, qt.IsNil)
			permits = append(permits, permit)
		}
		time.Sleep(20 * time.Millisecond)
		for _, permit := range permits {
			permit.Done(admission.Succeeded)
		}
	}
}

func BenchmarkAcquireDone(b *testing.B) {
	c := admission.New(admission.Config{Disabled: admission.ColdRamp})
	c.Announce(admission.Announcement{Slots: 1000})
	r := admission.Request{Account: "a", Weight: 1, Urgency: object.Normal, Deadline: time.Now().Add(time.Hour)}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			permit, err := c.Acquire(context.Background(), r)
			if err != nil {
				b.Error(err)
				return
			}
			permit.Done(admission.Succeeded)
		}
	})
}

func ExampleController() {
	c := admission.New(admission.Config{})
	c.Announce(admission.Announcement{Slots: 50, Connections: 400, Incarnation: "7f3a"})
	permit, err := c.Acquire(context.Background(), admission.Request{Account: "parish", Weight: 20})
	if err != nil {
		var refusal *verdict.Error
		fmt.Println(errors.As(err, &refusal))
		return
	}
	// Send the request to the backend server here.
	permit.Done(admission.Succeeded)
	fmt.Println(c.Load().InFlight, c.Load().Slots)
	// Output: 0 50
}
