package quota

import "time"

// DelegateArgs delegates a host's fraction of a set of partitions. It lists all
// partitions that the host delegates to this home; the delegation of any other
// one ends.
type DelegateArgs struct {
	Host        string
	Incarnation uint64
	// Sequence increases with every message that this incarnation of the host
	// sends, whichever home it goes to.
	Sequence uint64
	// HomeIncarnation and Stamp are from the home's last reply. The lease starts
	// at the stamp on the home's clock, so a delayed message can't extend a lease
	// that has expired. A message without a stamp only asks for one.
	HomeIncarnation uint64
	Stamp           time.Duration
	Fraction        float64
	Partitions      uint16
	// Tokens are the tokens of each account that the host held when the
	// delegation began.
	Tokens map[string]float64
}

// DelegateReply answers DelegateArgs.
type DelegateReply struct {
	HomeIncarnation uint64
	// Stamp is the time on the home's clock since the home started.
	Stamp time.Duration
	// Sequence is the highest sequence that the home has applied for this host.
	Sequence uint64
	// Partitions are those of which the home still retains the host's
	// delegation.
	Partitions uint16
}

// LoanReport reports to a home how much of a loan is spent.
type LoanReport struct {
	Loan  uint64
	Spent int
	// Returned is set if the unspent rest of the loan is given back.
	Returned bool
}

// BorrowItem asks for tokens of one account.
type BorrowItem struct {
	Account string
	// Need is the number of tokens for requests that wait now, Prefetch for those
	// expected soon.
	Need     int
	Prefetch int
	Reports  []LoanReport
}

// BorrowArgs asks a home for tokens and reports on earlier loans.
type BorrowArgs struct {
	Host string
	// HomeIncarnation is the incarnation of the home that made the reported
	// loans.
	HomeIncarnation uint64
	Items           []BorrowItem
}

// Loan is a batch of tokens lent to a host. Its life starts when the borrower
// sends its request.
type Loan struct {
	ID    uint64
	Count int
	Life  time.Duration
	// Prefetch marks tokens that no request is waiting for.
	Prefetch bool
}

// BorrowResult answers a BorrowItem.
type BorrowResult struct {
	Loans []Loan
	// Minting reports whether the home has a live delegation and so refills the
	// bucket.
	Minting bool
	// Empty is how long the home expects to have no tokens; set if it had fewer
	// than Need.
	Empty time.Duration
}

// BorrowReply has one result for each item of BorrowArgs.
type BorrowReply struct {
	// HomeIncarnation distinguishes loans made before and after a restart of the
	// home.
	HomeIncarnation uint64
	Results         []BorrowResult
}

// RosterArgs asks a host of the same zone for its copy of the zone's roster.
type RosterArgs struct {
	// Version is that of the row which the caller has.
	Version uint64
	// Row is the row's value if the receiver should adopt it.
	Row []byte
}

// RosterReply answers RosterArgs.
type RosterReply struct {
	// Version is that of the row which the host has; 0 if it doesn't know of a
	// read of the table since its start.
	Version uint64
	// Age is the time since the latest successful table read known to the host
	// was sent.
	Age time.Duration
	// Row is the row's value, if it is newer than the caller's.
	Row []byte
}
