package controller

import (
	"testing"

	"frostdock.example/frostdock/internal/schema"
)

// TestBestOffer checks each criterion by which an offer is chosen.
func TestBestOffer(t *testing.T) {
	spot := func(s *schema.Job) { s.Spot = true }
	for name, tc := range map[string]struct {
		job       func(*schema.Job)
		spotJobs  bool
		suspected string
		refused   []offer
		want      offer // none: the zero value
	}{
		"price and boot time": {want: offer{"big", "a", false}},
		"zone of the job":     {job: func(s *schema.Job) { s.Zone = "b" }, want: offer{"big", "b", false}},
		"zone suspected":      {suspected: "a", want: offer{"big", "b", false}},
		"refused":             {refused: []offer{{"big", "a", false}, {"big", "b", false}}, want: offer{"slow", "a", false}},
		"spot":                {job: spot, spotJobs: true, want: offer{"big", "a", true}},
		"spot refused":        {job: spot, spotJobs: true, refused: []offer{{"big", "a", true}, {"big", "b", true}}, want: offer{"big", "a", false}},
		"spot job, on demand": {job: spot},
		"too large":           {job: func(s *schema.Job) { s.CPUs = 33 }},
	} {
		t.Run(name, func(t *testing.T) {
			rig := newAutoscalerRig(t)
			rig.cluster.suspectedZones = map[string]bool{tc.suspected: true}
			for _, refused := range tc.refused {
				rig.rentals.pauseOffer(refused)
			}
			var got offer
			if best := rig.bestOffer([]unmetDemand{{waitingJob(tc.job), 10}}, tc.spotJobs); best != nil {
				got = *best
			}
			if got != tc.want {
				t.Errorf("got %+v, want %+v", got, tc.want)
			}
		})
	}
}
