package configuration

import "curranthold.example/curranthold/internal/metric"

var metrics = metric.NewGroup("configuration")

var (
	metricGeneration          = metrics.Int("generation")
	metricObjects             = metrics.Int("objects")
	metricPolls               = metrics.Int("polls")
	metricPollFailures        = metrics.Int("poll-failures")
	metricPushesSent          = metrics.Int("pushes-sent")
	metricPushFailures        = metrics.Int("push-failures")
	metricPushesReceived      = metrics.Int("pushes-received")
	metricPulls               = metrics.Int("pulls")
	metricPullFailures        = metrics.Int("pull-failures")
	metricSnapshotsFetched    = metrics.Int("whole-snapshots-fetched")
	metricCommits             = metrics.Int("commits")
	metricCommitConflicts     = metrics.Int("commit-conflicts")
	metricOutcomesUnknown     = metrics.Int("commit-outcomes-unknown")
	metricSurveys             = metrics.Int("surveys")
	metricKeysRefused         = metrics.Int("keys-refused")
	metricKeysRefusedIsolated = metrics.Int("keys-refused-while-isolated")
)
