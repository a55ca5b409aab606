package quota

import "curranthold.example/curranthold/internal/event"

var (
	eventRowUnreadable = event.New(1100, "quota-row-unreadable", event.Error,
		"A quota row of the table can't be decoded; the host keeps using the last row that it could decode.")
	eventStale = event.New(1101, "quota-fraction-stale", event.Warn,
		"The host can reach neither the table nor a majority of the voters of its zone's roster, and no longer uses its fraction.")
	eventFresh = event.New(1102, "quota-fraction-fresh", event.Info,
		"The host's fraction is confirmed again and may be used; buckets that the host refills itself start empty.")
	eventFractionChanged = event.New(1103, "quota-fraction-changed", event.Info,
		"The roster grants this host a different fraction of every client account's limit.")
	eventOwnRefill = event.New(1104, "quota-own-minting", event.Warn,
		"A delegation has expired without a release by its home, usually because the home can't be reached. The host refills its own buckets from its fraction until the home answers.")
	eventLeaveFailed = event.New(1105, "quota-leave-failed", event.Warn,
		"The host could not give up its fraction while closing; the fraction stays unused until the leader of the zone's roster reclaims it.")
)
