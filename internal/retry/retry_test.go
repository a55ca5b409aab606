package retry_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"curranthold.example/curranthold/internal/retry"
	"curranthold.example/curranthold/pkg/verdict"
)

func TestAllowed(t *testing.T) {
	tests := map[string]struct {
		verdict       verdict.Verdict
		code          verdict.Code
		exhausted     bool
		nonRepeatable bool
		want          bool
	}{
		"not run":                       {verdict: verdict.NotRun, code: verdict.Overloaded, want: true},
		"not run, non-repeatable":       {verdict: verdict.NotRun, code: verdict.PeerUnreachable, nonRepeatable: true, want: true},
		"may have run":                  {verdict: verdict.MayHaveRun, code: verdict.PeerExchangeBroken, want: true},
		"may have run, non-repeatable":  {verdict: verdict.MayHaveRun, code: verdict.PeerExchangeBroken, nonRepeatable: true},
		"ran":                           {verdict: verdict.Ran, code: verdict.BackendBroken},
		"exhausted":                     {verdict: verdict.NotRun, code: verdict.Overloaded, exhausted: true},
		"key refused":                   {verdict: verdict.NotRun, code: verdict.KeyRefused},
		"quota exceeded":                {verdict: verdict.NotRun, code: verdict.QuotaExceeded},
		"unknown route":                 {verdict: verdict.NotRun, code: verdict.UnknownRoute},
		"bad request":                   {verdict: verdict.NotRun, code: verdict.BadRequest},
		"claim held":                    {verdict: verdict.NotRun, code: verdict.ClaimHeld},
		"deadline passed":               {verdict: verdict.MayHaveRun, code: verdict.DeadlineExceeded},
		"missing verdict":               {code: verdict.Internal, nonRepeatable: true},
		"cold start, non-repeatable":    {verdict: verdict.NotRun, code: verdict.ColdStart, nonRepeatable: true, want: true},
		"zone out of service elsewhere": {verdict: verdict.NotRun, code: verdict.ZoneOutOfService, want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			err := verdict.New(test.verdict, test.code, "refused")
			err.Exhausted = test.exhausted
			qt.Assert(t, retry.Allowed(err, test.nonRepeatable), qt.Equals, test.want)
		})
	}
	qt.Assert(t, retry.Allowed(nil, false), qt.IsFalse)
}

func TestBackoff(t *testing.T) {
	zero := func() float64 { return 0 }
	qt.Assert(t, retry.Backoff(1, zero), qt.Equals, time.Millisecond)
	qt.Assert(t, retry.Backoff(2, zero), qt.Equals, 2*time.Millisecond)
	qt.Assert(t, retry.Backoff(100, zero), qt.Equals, 25*time.Millisecond)
	qt.Assert(t, retry.Backoff(100, nil) <= 50*time.Millisecond, qt.IsTrue)
}

// TestBudgetNeverMultiplies makes calls in random call trees in which answers
// are lost, repeated or faulty. It checks that they take no more retries than
// the root request was given.
func TestBudgetNeverMultiplies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		extra := rapid.IntRange(0, 8).Draw(t, "extra")
		root := retry.NewBudget(extra)
		taken := 0
		var call func(b *retry.Budget, depth int)
		call = func(b *retry.Budget, depth int) {
			for range rapid.IntRange(0, 3).Draw(t, "calls") {
				if b.Take() {
					taken++
				}
				if depth == 0 {
					continue
				}
				share := b.Split()
				nested := retry.NewBudget(share.Retries())
				call(nested, depth-1)
				for range rapid.IntRange(0, 2).Draw(t, "answers") {
					share.Refund(nested.Remaining() + rapid.IntRange(-9, 0).Draw(t, "lost"))
				}
			}
		}
		call(root, 4)
		if taken > extra || root.Remaining() < 0 || taken+root.Remaining() > extra {
			t.Fatalf("took %d, %d remain, of %d", taken, root.Remaining(), extra)
		}
	})
}

func TestShareIsBounded(t *testing.T) {
	b := retry.NewBudget(3)
	share := b.Split()
	qt.Assert(t, share.Retries(), qt.Equals, 2)
	share.Refund(100)
	qt.Assert(t, b.Remaining(), qt.Equals, 3)
	share.Refund(2)
	qt.Assert(t, b.Remaining(), qt.Equals, 3)
	qt.Assert(t, retry.NewBudget(1).Split().Retries(), qt.Equals, 1)
}

// TestChainAmplification sends calls down a chain of services. Each node
// retries whenever its bucket allows it, and a retry repeats all calls nested
// in it. If these calls are counted by CountNestedInRetry, the attempts at the
// deepest service must stay within 1.1 times the first attempts.
func TestChainAmplification(t *testing.T) {
	const (
		levels        = 12
		firstAttempts = 20_000
		burst         = 10
	)
	for name, marked := range map[string]bool{"marked": true, "unmarked": false} {
		t.Run(name, func(t *testing.T) {
			buckets := make([]retry.Bucket, levels)
			deepest := 0
			var call func(level int, repeated bool)
			call = func(level int, repeated bool) {
				if level == levels {
					deepest++
					return
				}
				if repeated && marked {
					buckets[level].CountNestedInRetry()
				} else {
					buckets[level].CountFirst()
				}
				call(level+1, repeated)
				if buckets[level].Take() {
					call(level+1, true)
				}
			}
			for range firstAttempts {
				call(0, false)
			}
			ratio := float64(deepest-levels*burst) / firstAttempts
			t.Logf("attempts at the deepest service: %d for %d first attempts, %.3f without the initial burst", deepest, firstAttempts, ratio)
			if marked {
				qt.Assert(t, ratio <= 1.1, qt.IsTrue)
			}
		})
	}
}

// TestZeroShare checks that the zero Share has no retries and ignores a refund.
func TestZeroShare(t *testing.T) {
	var share retry.Share
	qt.Assert(t, share.Retries(), qt.Equals, 0)
	share.Refund(3)
}

// TestBurstOfManyNodes divides a burst among more nodes than it has retries. It
// checks that the retries of all nodes together stay within the share of first
// attempts plus the burst.
func TestBurstOfManyNodes(t *testing.T) {
	const (
		nodes         = 300
		burst         = 50
		share         = 0.1
		firstAttempts = 4 // of each node
	)
	var buckets [nodes]retry.Buckets
	for i := range buckets {
		buckets[i].SetShare(share)
		buckets[i].SetBurst(float64(burst) / nodes)
	}
	retries := 0
	for range firstAttempts {
		for i := range buckets {
			buckets[i].Bucket("peals").CountFirst()
			if buckets[i].Bucket("peals").Take() {
				retries++
			}
		}
	}
	allowed := share*firstAttempts*nodes + burst
	qt.Check(t, float64(retries) <= allowed, qt.IsTrue, qt.Commentf("%d retries, %.0f allowed", retries, allowed))
}

func BenchmarkBucket(b *testing.B) {
	var bucket retry.Bucket
	b.ReportAllocs()
	for b.Loop() {
		bucket.CountFirst()
		bucket.Take()
	}
}

func ExampleBudget() {
	root := retry.NewBudget(2)
	share := root.Split()
	nested := retry.NewBudget(share.Retries())
	fmt.Println(nested.Take(), nested.Take())
	share.Refund(nested.Remaining())
	fmt.Println(root.Remaining())
	// Output:
	// true false
	// 1
}

// TestNoBurst sets a burst of 0. Buckets then allow a retry only after first attempts
// have earned it, those that existed before included.
func TestNoBurst(t *testing.T) {
	var buckets retry.Buckets
	old := buckets.Bucket("old")
	buckets.SetBurst(0)
	for _, bucket := range []*retry.Bucket{old, buckets.Bucket("new")} {
		qt.Check(t, bucket.Take(), qt.IsFalse)
		for range 20 {
			bucket.CountFirst()
		}
		qt.Check(t, bucket.Take(), qt.IsTrue)
		qt.Check(t, bucket.Take(), qt.IsFalse)
	}
}

// BenchmarkBuckets looks up the bucket of one of many services.
func BenchmarkBuckets(b *testing.B) {
	var buckets retry.Buckets
	for i := range 340 {
		buckets.Bucket(fmt.Sprintf("service-%d", i)).CountFirst()
	}
	b.ReportAllocs()
	for b.Loop() {
		buckets.Bucket("service-170").CountFirst()
	}
}
