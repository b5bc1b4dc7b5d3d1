package main

import (
	"fmt"
	"time"
)

func init() { cases["smoke"] = smoke }

func mapTypes() []*machineType {
	return []*machineType{
		{Name: "ladera-16", CPUs: 16, MemoryGB: 128, LocalGB: 35, FetchGBPerS: 0.6, Rate: 1.24, MarketPrice: 0.54, BootS: 35, Yards: zones, spare: 4},
		{Name: "cumbre-64", CPUs: 64, MemoryGB: 256, LocalGB: 50, FetchGBPerS: 0.4, Rate: 4.03, MarketPrice: 1.76, BootS: 35, Yards: zones, spare: 1},
	}
}

func smoke() {
	w := newWorld("smoke", 3, []team{{"equipo-cartas", 0, 0}, {"equipo-kiosco", 0, 0}}, mapTypes())
	w.cloud.add("ladera-16", zones[0], false, 4)
	w.startNodes()
	w.awaitReady()
	for i := range 4 {
		go w.submit(i, array(fmt.Sprintf("j-%06d", i), w.teams[i%2].name, 20, 2, 3))
	}
	w.submit(1, service("j-000100", "equipo-kiosco", 2, 2))
	for i := range 4 {
		id := fmt.Sprintf("j-%06d", i)
		w.await(60*time.Second, id+" is done", func() bool { return w.poll(i, id).Stage == "done" })
	}
	w.abort(0, "j-000100")
	w.finish()
}
