package tally

import (
	"time"

	"curranthold.example/curranthold/internal/quota"
)

// ServiceName is the net/rpc name of the receiver that [Manager.RPC] returns.
const ServiceName = "Tally"

// Spending is the part of a report that concerns one account.
type Spending struct {
	Account string
	// Total is the number of tokens that the host has spent since it started.
	Total uint64
	// Unreported is the part of Total that no home has acknowledged.
	Unreported uint64
	// Level is the host's estimate of the tokens left. A home starts from it if it
	// has no bucket for the account yet and the host knows of no other home.
	Level float64
	// Home is the host whose answer the reporting host last applied; "" before the
	// first answer. HomeIncarnation is that of its process, HomeLevel the number of
	// tokens left according to that answer, and HomeAge the time since then.
	Home            string
	HomeIncarnation uint64
	HomeLevel       float64
	HomeAge         time.Duration
	// Wanted is the number of tokens that the host asks for in addition, for
	// requests that it would otherwise refuse.
	Wanted uint64
}

// ReportArgs reports to a home what a host has spent.
type ReportArgs struct {
	Host        string
	Incarnation uint64
	Spendings   []Spending
}

// State is the state of one account's bucket at its home.
type State struct {
	// Level is the number of tokens left. It is negative if hosts spent more
	// tokens than there were.
	Level float64
	// Others is the rate at which other hosts spend, in tokens a second.
	Others float64
	// Refill is the rate at which the bucket is refilled, in tokens a second.
	Refill float64
	// Granted is how many of the tokens wanted the home has taken from the bucket.
	// They count as spent and reported.
	Granted uint64
	// Primary is the home of the account according to the answering host, if it is
	// another one.
	Primary quota.Host
}

// ReportReply answers ReportArgs.
type ReportReply struct {
	// Incarnation is that of the home's process.
	Incarnation uint64
	// States holds the state of each account in the report, in the same order.
	States []State
}

// RPC is the net/rpc receiver for the messages of other hosts.
type RPC struct{ manager *Manager }

// RPC returns the receiver to register under [ServiceName].
func (m *Manager) RPC() any { return &RPC{manager: m} }

// Report handles the report of a host.
func (r *RPC) Report(args *ReportArgs, reply *ReportReply) error {
	*reply = r.manager.handleReport(args)
	return nil
}
