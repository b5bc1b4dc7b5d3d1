// Package cloud defines the messages between controllers and the cloud that rents out machines,
// and nothing else: package server carries them over HTTP, package controller decides what to
// rent and what to return.
//
// The cloud offers a Catalog of machine types. A RentalRequest scales out; it is idempotent under
// its name, so it can be repeated when its answer was lost. Deletions are idempotent by the names
// of the machines. The list of machines may be out of date.
//
// The cloud's API has names of its own, which appear in the JSON tags:
//
//	stock  machine type    bench  machine           cards    GPUs        rate         price by the hour
//	yard   zone            hire   rental request    loaners  spot        marketPrice  spot price by the hour
package cloud

// MachineType is a machine type of the catalog.
type MachineType struct {
	Name             string   `json:"name"`
	CPUs             float64  `json:"cpus"`
	GPUs             float64  `json:"cards"`
	MemGB            float64  `json:"memoryGb"`
	CacheGB          float64  `json:"localGb"`     // disk space for images
	FetchGBPerSecond float64  `json:"fetchGbPerS"` // rate at which images are pulled
	HourlyPrice      float64  `json:"rate"`
	SpotHourlyPrice  float64  `json:"marketPrice"`
	BootSeconds      float64  `json:"bootS"` // usual time until a new machine is running
	Zones            []string `json:"yards"` // zones in which the type is offered
}

// HourlyRate returns the price of a machine of the type, by the hour.
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

// RentalRequest rents up to Count machines. Its name is never used for another request.
type RentalRequest struct {
	Name  string `json:"hire"`
	Type  string `json:"stock"`
	Zone  string `json:"yard"`
	Spot  bool   `json:"loaners"`
	Count int    `json:"howMany"`
}

// MachineNames lists machines: the answer to a RentalRequest and the body of a deletion.
type MachineNames struct {
	Names []string `json:"benches"`
}

// MachineState is the state of a machine as the cloud reports it.
type MachineState string

// The states of a machine.
const (
	Starting MachineState = "starting"
	Running  MachineState = "running"
	Failed   MachineState = "failed"
)

// ListedMachine is a machine in the cloud's list.
type ListedMachine struct {
	Name       string       `json:"uid"`
	Addr       string       `json:"endpoint"`
	Type       string       `json:"stock"`
	Zone       string       `json:"yard"`
	Spot       bool         `json:"loaners"`
	State      MachineState `json:"stage"`
	AgeSeconds float64      `json:"ageS"` // since it was rented
}

// MachinePage is one page of the list.
type MachinePage struct {
	Machines  []ListedMachine `json:"benches"`
	Truncated bool            `json:"truncated"` // more machines follow the last one
}
