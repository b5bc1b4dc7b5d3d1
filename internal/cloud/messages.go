// Package cloud holds the messages between controllers and the cloud.
package cloud

// MachineType is a machine type of the catalog.
type MachineType struct {
	Name             string   `json:"name"`
	CPUs             float64  `json:"cpus"`
	GPUs             float64  `json:"cards"`
	MemGB            float64  `json:"memoryGb"`
	CacheGB          float64  `json:"localGb"`
	FetchGBPerSecond float64  `json:"fetchGbPerS"`
	HourlyPrice      float64  `json:"rate"`
	SpotHourlyPrice  float64  `json:"marketPrice"`
	BootSeconds      float64  `json:"bootS"`
	Zones            []string `json:"yards"`
}

// HourlyRate is the price of a machine of the type, by the hour.
func (t *MachineType) HourlyRate(spot bool) float64 {
	if spot {
		return t.SpotHourlyPrice
	}
	return t.HourlyPrice
}

// Catalog is the answer to GET /catalog.
type Catalog struct {
	Types []MachineType `json:"stocks"`
}

// RentalRequest is a rental request. Its name is never used for another.
type RentalRequest struct {
	Name  string `json:"hire"`
	Type  string `json:"stock"`
	Zone  string `json:"yard"`
	Spot  bool   `json:"loaners"`
	Count int    `json:"howMany"`
}

// MachineNames lists machines: the answer to a Hire and the body of a deletion.
type MachineNames struct {
	Names []string `json:"benches"`
}

// ListedMachine is a machine in the cloud's list.
type ListedMachine struct {
	Name       string  `json:"uid"`
	Addr       string  `json:"endpoint"`
	Type       string  `json:"stock"`
	Zone       string  `json:"yard"`
	Spot       bool    `json:"loaners"`
	State      string  `json:"stage"`
	AgeSeconds float64 `json:"ageS"`
}

// MachinePage is one page of the list.
type MachinePage struct {
	Machines  []ListedMachine `json:"benches"`
	Truncated bool            `json:"truncated"`
}

// States of a listed machine.
const (
	Starting = "starting"
	Running  = "running"
	Failed   = "failed"
)
