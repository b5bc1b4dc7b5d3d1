package controller

import (
	"testing"

	"frostdock.example/frostdock/internal/config"
	"frostdock.example/frostdock/internal/schema"
	"frostdock.example/frostdock/internal/units"
)

// TestAssumedTaskTime guards against an average over jobs of all kinds, under which new
// jobs of short tasks would wait behind jobs of long ones.
func TestAssumedTaskTime(t *testing.T) {
	c := newTestController(&config.Config{Member: "a", Settings: config.Settings{Size: 1, Teams: []config.Team{{Name: "red"}}}})
	c.now = units.Second
	add := func(id, class string, estimateS float64, averageS float64) *job {
		j := c.replica.job(id)
		j.accepted, j.spec = true, schema.Job{ID: id, Class: class, EstimatedSeconds: estimateS}
		if averageS > 0 {
			j.storedAverage, j.storedAverageCount = units.FromSeconds(averageS), 10
		}
		return j
	}
	add("j-1", "long", 0, 50)
	add("j-2", "long", 0, 70)
	short := add("j-3", "short", 0, 5)
	c.replica.jobsByAge = nil
	c.planner.estimates.update(c.now, c.replica.sortedJobs())
	for _, tc := range []struct {
		j    *job
		want units.Micros
	}{
		{add("j-4", "long", 9, 0), 60 * units.Second},
		{add("j-5", "short", 9, 0), 5 * units.Second},
		{add("j-6", "unseen", 9, 0), 9 * units.Second},
		{add("j-7", "unseen", 0, 0), defaultTaskTime},
	} {
		if got := c.planner.estimates.assumedTaskTime(tc.j); got != tc.want {
			t.Errorf("%s of class %s: %v, want %v", tc.j.id, tc.j.spec.Class, got, tc.want)
		}
	}
	short.accepted = false
	c.replica.jobsByAge = nil
	c.now += 2 * classAveragePeriod
	c.planner.estimates.update(c.now, c.replica.sortedJobs())
	if got := c.planner.estimates.assumedTaskTime(c.replica.job("j-5")); got != 5*units.Second {
		t.Errorf("the class's last average is forgotten: %v", got)
	}
}
