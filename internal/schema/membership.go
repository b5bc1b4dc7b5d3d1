package schema

// Registration is the entry of a live process. It expires with the lease of the process.
type Registration struct {
	Incarnation string `json:"w"`
	Format      int    `json:"f,omitempty"` // the latest that the process knows
}

// Partition says which process leads a partition. Whoever becomes its leader raises the term.
type Partition struct {
	Term        uint64 `json:"e"`
	Member      string `json:"m"`
	Incarnation string `json:"i"`
	WriteTag    string `json:"w,omitempty"` // of the transaction that wrote it
}
