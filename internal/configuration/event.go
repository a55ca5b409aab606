package configuration

import "curranthold.example/curranthold/internal/event"

var (
	eventReady             = event.New(500, "configuration-ready", event.Info, "The node has the latest configuration that it can learn of and is ready to serve.")
	eventWaiting           = event.New(501, "configuration-waiting", event.Warn, "The node has started but reaches neither the table service nor a ready peer; it does not serve until it reaches one of them.")
	eventTableUnreachable  = event.New(502, "configuration-table-unreachable", event.Warn, "A polling node cannot read the head row; it now receives configuration only from peers.")
	eventTableReachable    = event.New(503, "configuration-table-reachable", event.Info, "A polling node can read the head row again.")
	eventTableBehind       = event.New(504, "configuration-table-behind", event.Error, "The table service has a lower generation than this node has applied; the node keeps its own. The table may have been restored from a backup.")
	eventChangeUndecodable = event.New(505, "configuration-change-undecodable", event.Error, "The node cannot decode or apply a configuration change and stays at the previous generation. Its program may be too old.")
	eventSnapshotStored    = event.New(506, "configuration-snapshot-stored", event.Info, "A full snapshot was written to the object store, where nodes that are far behind fetch it.")
	eventSnapshotFailed    = event.New(507, "configuration-snapshot-failed", event.Warn, "A full snapshot could not be written to the object store.")
	eventOutcomeUnknown    = event.New(508, "configuration-outcome-unknown", event.Warn, "The response to a commit was lost; the node reads the operation's row to find out whether the commit took effect.")
	eventCaughtUp          = event.New(509, "configuration-caught-up", event.Info, "The node fetched a full snapshot of the configuration, since it was far behind or follows a configuration source.")
	eventSourceOlder       = event.New(510, "configuration-source-older", event.Warn, "The configuration source holds a configuration that operators declared before the one in force, for example because the store came back from an older copy. The node keeps the one in force until operators have declared it again or declared a later one.")
	eventOlderRefused      = event.New(511, "configuration-older-refused", event.Warn, "A peer has a configuration with a later generation that operators declared before the one in force, for example a host that started from a store's older copy. The node keeps the one in force under a generation above the peer's.")
	eventSourceRestored    = event.New(512, "configuration-source-restored", event.Warn, "The configuration source came back from an older copy: its versions have gone back, and its era has risen. Later versions count from the new era.")
)
