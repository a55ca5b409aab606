package claim

import (
	"time"

	"curranthold.example/curranthold/internal/peer"
	"curranthold.example/curranthold/internal/platform"
)

// Defaults of Config.
const (
	defaultTicketLifetime       = 10 * time.Minute
	defaultMaxTicketsPerAccount = 20_000
	defaultMaxTickets           = 100_000
	defaultRetention            = 24 * time.Hour
	defaultBatchSize            = 50
	defaultBatchWait            = 2 * time.Millisecond
	defaultMaxTransactionRate   = 40
	defaultAggregators          = 1
	defaultDeliveryTimeout      = time.Minute
	defaultCloseTimeout         = 2 * time.Second
)

// Config configures a Claimer. Zero durations and numbers are replaced by
// defaults.
type Config struct {
	// Host is the identifier of this host, Zone its availability zone, and Address
	// the address at which it listens for other hosts.
	Host, Zone, Address string
	// Incarnation increases with each start of the host's process.
	Incarnation uint64
	// Secret is the key that authenticates tickets. It is the same on every host.
	// With neither Secret nor OldSecrets, no ticket is issued or accepted.
	Secret []byte
	// OldSecrets are former values of Secret. Tickets authenticated by one of them
	// are still accepted, so that Secret can be replaced without downtime.
	OldSecrets [][]byte
	Peers      peer.Caller
	Table      platform.Table
	Now        func() time.Time

	// TicketLifetime is how long a ticket may be used after it was issued.
	TicketLifetime time.Duration
	// MaxTicketsPerAccount and MaxTickets limit the tickets that this host has issued
	// and whose records it still keeps, which is until shortly after they expire:
	// for each client account, and for all client accounts together.
	MaxTicketsPerAccount, MaxTickets int
	// Retention is the minimum time for which the claims of an idempotency key are
	// stored. It must be the same on every host, and much longer than the
	// difference between the clocks of any two hosts.
	Retention time.Duration
	// BatchSize is the maximum number of claims in one transaction. BatchWait is
	// how long the first claim of a batch waits for others.
	BatchSize int
	BatchWait time.Duration
	// MaxTransactionRate limits the transactions of this host, per second.
	MaxTransactionRate float64
	// Aggregators is the number of partitions into which the claims of each
	// availability zone are divided by their request hashes. One host of the zone, the
	// aggregator, writes all claims of a partition to the table. The number must be
	// the same on every host.
	Aggregators int
	// DeliveryTimeout limits how long delivery of the end of a claim is retried in
	// the background.
	DeliveryTimeout time.Duration
	// CloseTimeout limits how long Close waits for these deliveries.
	CloseTimeout time.Duration
}

func (c Config) withDefaults() Config {
	setDefault(&c.TicketLifetime, defaultTicketLifetime)
	setDefault(&c.MaxTicketsPerAccount, defaultMaxTicketsPerAccount)
	setDefault(&c.MaxTickets, defaultMaxTickets)
	setDefault(&c.Retention, defaultRetention)
	setDefault(&c.BatchSize, defaultBatchSize)
	setDefault(&c.BatchWait, defaultBatchWait)
	setDefault(&c.MaxTransactionRate, defaultMaxTransactionRate)
	setDefault(&c.Aggregators, defaultAggregators)
	setDefault(&c.DeliveryTimeout, defaultDeliveryTimeout)
	setDefault(&c.CloseTimeout, defaultCloseTimeout)
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
