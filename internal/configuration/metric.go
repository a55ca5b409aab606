package configuration

import "curranthold.example/curranthold/internal/metric"

var metrics = metric.NewGroup("configuration")

// Metrics named count... count events since the process started.
var (
	gaugeGeneration          = metrics.Int("generation")
	gaugeObjects             = metrics.Int("objects")
	countPolls               = metrics.Int("polls")
	countPollFailures        = metrics.Int("poll-failures")
	countPushesSent          = metrics.Int("pushes-sent")
	countPushFailures        = metrics.Int("push-failures")
	countPushesReceived      = metrics.Int("pushes-received")
	countPulls               = metrics.Int("pulls")
	countPullFailures        = metrics.Int("pull-failures")
	countSnapshotsFetched    = metrics.Int("whole-snapshots-fetched")
	countCommits             = metrics.Int("commits")
	countCommitConflicts     = metrics.Int("commit-conflicts")
	countOutcomesUnknown     = metrics.Int("commit-outcomes-unknown")
	countSurveys             = metrics.Int("surveys")
	countKeysRefused         = metrics.Int("keys-refused")
	countKeysRefusedIsolated = metrics.Int("keys-refused-while-isolated")
)
