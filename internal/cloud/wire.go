// Package provision holds the messages between controllers and the cloud.
package cloud

// Type is a machine type of the catalog.
type Type struct {
	Name      string   `json:"name"`
	CPUs      float64  `json:"cpus"`
	GPUs      float64  `json:"cards"`
	MemGB     float64  `json:"memoryGb"`
	CacheGB   float64  `json:"localGb"`
	FetchGBs  float64  `json:"fetchGbPerS"`
	Price     float64  `json:"rate"`
	SpotPrice float64  `json:"marketPrice"`
	BootS     float64  `json:"bootS"`
	Zones     []string `json:"yards"`
}

// Rate is the price of a machine of the type, by the hour.
func (t *Type) Rate(spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.Price
}

// Catalog is the answer to GET /catalog.
type Catalog struct {
	Types []Type `json:"stocks"`
}

// Hire is a rental request. Its name is never used for another.
type Hire struct {
	Name  string `json:"hire"`
	Type  string `json:"stock"`
	Zone  string `json:"yard"`
	Spot  bool   `json:"loaners"`
	Count int    `json:"howMany"`
}

// Names lists machines: the answer to a Hire and the body of a deletion.
type Names struct {
	Machines []string `json:"benches"`
}

// Listed is a machine in the cloud's list.
type Listed struct {
	Name  string  `json:"uid"`
	Addr  string  `json:"endpoint"`
	Type  string  `json:"stock"`
	Zone  string  `json:"yard"`
	Spot  bool    `json:"loaners"`
	State string  `json:"stage"`
	AgeS  float64 `json:"ageS"`
}

// Page is one page of the list.
type Page struct {
	Machines  []Listed `json:"benches"`
	Truncated bool     `json:"truncated"`
}

// States of a listed machine.
const (
	Starting = "starting"
	Running  = "running"
	Failed   = "failed"
)
