package server

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"frostdock.example/frostdock/internal/admission"
)

// operation is the kind of a request, under the name that the log uses.
type operation string

const (
	submitOperation    operation = "submit"
	queryOperation     operation = "poll"
	cancelOperation    operation = "abort"
	heartbeatOperation operation = "report"
)

// operations are all operations, in the order in which they are logged.
var operations = []operation{submitOperation, queryOperation, cancelOperation, heartbeatOperation}

const (
	// latencyLogInterval is how often the latencies measured since the previous log are logged.
	latencyLogInterval = 30 * time.Second
	// maxLatency is the longest latency that the histograms can record.
	maxLatency = 10 * time.Minute
	// latencyDigits is how many significant decimal digits of a latency the histograms keep.
	latencyDigits = 2
	// microsPerMillisecond converts the histograms' microseconds to milliseconds.
	microsPerMillisecond = 1000
)

// latencyRecorder collects the latencies of requests, by operation. It is safe for concurrent use.
type latencyRecorder struct {
	mu         sync.Mutex
	histograms map[operation]*hdrhistogram.Histogram // in microseconds
}

func newLatencyRecorder() *latencyRecorder {
	return &latencyRecorder{histograms: map[operation]*hdrhistogram.Histogram{}}
}

// record adds the latency of one request.
func (r *latencyRecorder) record(op operation, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	histogram := r.histograms[op]
	if histogram == nil {
		histogram = hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)
		r.histograms[op] = histogram
	}
	// RecordValue fails only for a latency above maxLatency. Since requestTimeout is far below that, such a
	// latency means that the host was suspended, and it is not recorded.
	_ = histogram.RecordValue(max(1, latency.Microseconds()))
}

// logPeriodically logs the latencies of each latencyLogInterval, at level info, until ctx ends.
func (r *latencyRecorder) logPeriodically(ctx context.Context, log *slog.Logger, limiter *admission.Limiter) {
	ticker := time.NewTicker(latencyLogInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.logAndReset(log, limiter)
		}
	}
}

// logAndReset logs a line for each operation that had requests since the previous log, and resets the
// histograms.
func (r *latencyRecorder) logAndReset(log *slog.Logger, limiter *admission.Limiter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, op := range operations {
		histogram := r.histograms[op]
		if histogram == nil || histogram.TotalCount() == 0 {
			continue
		}
		log.Info("request latencies",
			"of", string(op),
			"count", histogram.TotalCount(),
			"p50_ms", milliseconds(histogram.ValueAtQuantile(50)),
			"p99_ms", milliseconds(histogram.ValueAtQuantile(99)),
			"max_ms", milliseconds(histogram.Max()),
			"limit", limiter.Limit())
		histogram.Reset()
	}
}

func milliseconds(micros int64) float64 { return float64(micros) / microsPerMillisecond }
