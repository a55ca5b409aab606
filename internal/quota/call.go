package quota

import (
	"time"

	"curranthold.example/curranthold/internal/platform"
)

// The methods of the net/rpc receiver.
const (
	serviceName    = "Quota"
	methodDelegate = "Delegate"
	methodBorrow   = "Borrow"
	methodRoster   = "Roster"
)

// call is a message that the Manager sends to a host, or a table operation if
// keys or tx is set. done handles the outcome, and may return more calls.
type call struct {
	to     Host
	method string
	args   any
	reply  any

	keys []string
	tx   *platform.Transaction
	rows []platform.Row

	done func(now time.Time, err error) []*call
}
