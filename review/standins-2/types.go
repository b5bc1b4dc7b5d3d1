package main

// mapTypes are the machine types of the map's deployment.
func mapTypes() []*machineType {
	return []*machineType{
		{Name: "ladera-16", CPUs: 16, MemoryGB: 128, LocalGB: 35, FetchGBPerS: 0.6, Rate: 1.24, MarketPrice: 0.54, BootS: 35, Yards: zones, spare: 4},
		{Name: "cumbre-64", CPUs: 64, MemoryGB: 256, LocalGB: 50, FetchGBPerS: 0.4, Rate: 4.03, MarketPrice: 1.76, BootS: 35, Yards: zones, spare: 1},
	}
}

// ledgerTypes are machine types of the ledger's deployment; none can be rented.
func ledgerTypes() []*machineType {
	return []*machineType{
		{Name: "sano-4", CPUs: 4, MemoryGB: 16, LocalGB: 20, FetchGBPerS: 0.4, Rate: 0.21, MarketPrice: 0.08, BootS: 40, Yards: zones},
		{Name: "majhaula-16", CPUs: 16, MemoryGB: 64, LocalGB: 30, FetchGBPerS: 0.6, Rate: 0.82, MarketPrice: 0.33, BootS: 15, Yards: zones},
	}
}

// ledger sets the settings of the ledger's deployment.
func ledger() {
	stateRPS, stateWriteRPS, stateValueKB, stateTxnOps = 200, 40, 16, 32
	reportS, leaseS, cancelS = 3, 42, 62
	cloudRPS, cloudLagS = 10, 8
	memoryMB, sockets = 451, 5000
	zones = []string{"butwal-mill", "kathmandu-office"}
}
