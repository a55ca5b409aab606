package verdict

// Code identifies the cause of an error. Codes are stable: programs may rely on
// them. docs/API.md says what each one means and how to respond to it.
type Code string

// The codes, roughly in the order of the stages of a call that return them.
const (
	BadRequest         Code = "bad-request"
	RequestTooLarge    Code = "request-too-large"
	UnknownRoute       Code = "unknown-route"
	KeyMissing         Code = "key-missing"
	KeyRefused         Code = "key-refused"
	KeyUnconfirmed     Code = "key-unconfirmed"
	CallTokenRefused   Code = "call-token-refused"
	DeadlineExceeded   Code = "deadline-exceeded"
	QuotaExceeded      Code = "quota-exceeded"
	QuotaUnavailable   Code = "quota-unavailable"
	AlreadyRan         Code = "already-ran"
	ClaimHeld          Code = "claim-held"
	ClaimUnavailable   Code = "claim-unavailable"
	TicketRefused      Code = "ticket-refused"
	TicketExpired      Code = "ticket-expired"
	TicketsExhausted   Code = "tickets-exhausted"
	NoHost             Code = "no-host"
	Overloaded         Code = "overloaded"
	ColdStart          Code = "cold-start"
	RetriesExhausted   Code = "retries-exhausted"
	ZoneOutOfService   Code = "zone-out-of-service"
	Leaving            Code = "leaving"
	PeerUnreachable    Code = "peer-unreachable"
	PeerExchangeBroken Code = "peer-exchange-broken"
	BackendUnreachable Code = "backend-unreachable"
	BackendRefused     Code = "backend-refused"
	BackendBroken      Code = "backend-broken"
	BackendFailed      Code = "backend-failed"
	AnswerTooLarge     Code = "answer-too-large"
	AnswerMismatch     Code = "answer-mismatch"
	StatusInvalid      Code = "status-invalid"
	HeadInvalid        Code = "head-invalid"
	Cancelled          Code = "cancelled"
	NotReady           Code = "not-ready"
	Internal           Code = "internal"
)
