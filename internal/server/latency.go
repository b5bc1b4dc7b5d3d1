package server

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"frostdock.example/frostdock/internal/admission"
)

// latencyLogInterval is how often the measured times are told in the log.
const latencyLogInterval = 30 * time.Second

// latencyRecorder gathers how long requests took, by what was asked.
type latencyRecorder struct {
	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
}

func newLatencyRecorder() *latencyRecorder {
	return &latencyRecorder{histograms: map[string]*hdrhistogram.Histogram{}}
}

// record notes one request.
func (r *latencyRecorder) record(operation string, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	histogram := r.histograms[operation]
	if histogram == nil {
		histogram = hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 2)
		r.histograms[operation] = histogram
	}
	_ = histogram.RecordValue(max(1, latency.Microseconds())) // a value beyond the range is not worth an error
}

// logPeriodically tells the times of each period, at info, until ctx ends.
func (r *latencyRecorder) logPeriodically(ctx context.Context, log *slog.Logger, limiter *admission.Limiter) error {
	ticker := time.NewTicker(latencyLogInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		r.mu.Lock()
		for _, operation := range []string{"submit", "poll", "abort", "report"} {
			histogram := r.histograms[operation]
			if histogram == nil || histogram.TotalCount() == 0 {
				continue
			}
			log.Info("request latencies", "of", operation, "count", histogram.TotalCount(), "p50_ms", float64(histogram.ValueAtQuantile(50))/1000,
				"p99_ms", float64(histogram.ValueAtQuantile(99))/1000, "max_ms", float64(histogram.Max())/1000, "limit", limiter.Limit())
			histogram.Reset()
		}
		r.mu.Unlock()
	}
}
