package socket

import "curranthold.example/curranthold/internal/metric"

var (
	metrics = metric.NewGroup("socket")
	stalls  = metrics.Int("stalls")
	aborts  = metrics.Int("aborts")
)
