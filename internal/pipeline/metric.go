package pipeline

import "curranthold.example/curranthold/internal/metric"

var (
	metrics       = metric.NewGroup("pipeline")
	metricAhead   = metrics.Int("read-ahead-requests")
	metricRefused = metrics.Int("refused-read-aheads")
	metricDropped = metrics.Int("dropped-requests")
)
