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

// call is a request for the Manager to perform: to another host, or to the table
// if keys or tx is set. done handles the outcome, and may return more calls.
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
