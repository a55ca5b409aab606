package claim

import "curranthold.example/curranthold/pkg/verdict"

// Outcome is the decision on a claim. The zero value is Unavailable, so that an
// Outcome that was never set grants nothing.
type Outcome uint8

// The outcomes.
const (
	// Unavailable means that no decision was made.
	Unavailable Outcome = iota
	// Granted means that the arrival holds the claim. For an operation that writes
	// the end of a claim it means that nothing is left to write.
	Granted
	// Held means that another arrival holds or may hold the claim.
	Held
	// AlreadyRan means that an earlier arrival ran.
	AlreadyRan
)

func errHeld() *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.ClaimHeld,
		"an earlier arrival of the request is running, or its end is unknown")
}

func errAlreadyRan(status int) *verdict.Error {
	err := verdict.New(verdict.Ran, verdict.AlreadyRan,
		"an earlier arrival of the request ran, with status %d", status)
	err.Status = status
	return err
}

func errIssuerRestarted() *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.ClaimUnavailable,
		"the ticket's home restarted and has forgotten whether the request ran")
}

func errArbiterUnreachable(err error) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.ClaimUnavailable,
		"whether an earlier arrival ran can't be asked: %v", err)
}
