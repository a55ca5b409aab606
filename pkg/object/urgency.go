package object

import "fmt"

var urgencyNames = [UrgencyCount]string{
	"urgent", "normal", "deferrable",
	"urgent-1", "normal-1", "deferrable-1",
	"urgent-2", "normal-2", "deferrable-2",
}

// WithRank returns the urgency of a request whose route has urgency u and whose
// client account has the given rank.
func (u Urgency) WithRank(rank int) Urgency {
	return Urgency(min(max(rank, 0), UrgencyRanks-1))*UrgencyLevels + u.Level()
}

// Level returns the urgency without the rank of the client account.
func (u Urgency) Level() Urgency { return u % UrgencyLevels }

// Valid reports whether u is less than UrgencyCount.
func (u Urgency) Valid() bool { return u < UrgencyCount }

// String returns the urgency's name.
func (u Urgency) String() string {
	if !u.Valid() {
		return fmt.Sprintf("urgency-%d", uint8(u))
	}
	return urgencyNames[u]
}

// MarshalText implements encoding.TextMarshaler.
func (u Urgency) MarshalText() ([]byte, error) {
	if !u.Valid() {
		return nil, fmt.Errorf("object: no urgency %d", uint8(u))
	}
	return []byte(urgencyNames[u]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (u *Urgency) UnmarshalText(text []byte) error {
	for i, name := range urgencyNames {
		if name == string(text) {
			*u = Urgency(i)
			return nil
		}
	}
	return fmt.Errorf("object: urgency %q is none of urgent, normal, deferrable", text)
}
