package tally

// ServiceName is the name under which the receiver of [Manager.RPC] is
// registered with net/rpc.
const ServiceName = "Tally"

// Spending is what a host says of one account.
type Spending struct {
	Account string
	// Total is what the host has spent since its start.
	Total uint64
	// Unreported is the part of Total that no home has acknowledged.
	Unreported uint64
	// Level is the host's estimate of the tokens that are left, for a home that
	// knows nothing of the account.
	Level float64
}

// ReportArgs tells a home what a host has spent.
type ReportArgs struct {
	Host        string
	Incarnation uint64
	Spendings   []Spending
}

// State is what a home knows of one account.
type State struct {
	// Level is the number of tokens that are left; it is negative where more
	// was spent than there was.
	Level float64
	// Others is what other hosts spend, in requests a second.
	Others float64
	// Refill is the rate at which the bucket is filled, in tokens a second.
	Refill float64
}

// ReportReply answers each of the spendings, in order.
type ReportReply struct{ States []State }

// RPC is the receiver of the messages of other hosts.
type RPC struct{ manager *Manager }

// RPC returns the receiver to register under [ServiceName].
func (m *Manager) RPC() any { return &RPC{manager: m} }

// Report takes in what a host has spent.
func (r *RPC) Report(args *ReportArgs, reply *ReportReply) error {
	reply.States = r.manager.hear(args)
	return nil
}
