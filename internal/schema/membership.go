package schema

// Registration is the entry of a live process. It expires with the lease of the process.
type Registration struct {
	Incarnation string `json:"w"`
	Format      int    `json:"f,omitempty"` // latest format that the process knows
}

// Partition records which process leads a partition. Each new leader raises the term.
type Partition struct {
	Term        uint64 `json:"e"`
	Member      string `json:"m"`
	Incarnation string `json:"i"`
	WriteTag    string `json:"w,omitempty"` // tag of the transaction that wrote it
}
