package server

import (
	"net/http"
	"testing"

	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/controller"
)

// TestCloudCalls checks the requests of calls to the cloud, and the messages that the responses result in.
func TestCloudCalls(t *testing.T) {
	names := cloud.MachineNames{Names: []string{"n-1"}}
	rental := cloud.RentalRequest{Name: "r", Type: "big", Zone: "z", Count: 2}
	types := []cloud.MachineType{{Name: "big"}}
	runOutboundCases(t, []outboundCase{
		{
			"catalog", controller.CloudCall{CallID: testCallID, Op: controller.CloudCatalog},
			getRequest("/catalog"),
			http.StatusOK, `{"stocks":[{"name":"big"}]}`,
			controller.CloudResult{CallID: testCallID, Status: cloud.StatusOK, Catalog: cloud.Catalog{Types: types}},
		},
		{
			"rent", controller.CloudCall{CallID: testCallID, Op: controller.CloudRent, Rental: rental},
			postRequest("/machines", `{"hire":"r","stock":"big","yard":"z","loaners":false,"howMany":2}`),
			http.StatusOK, `{"benches":["n-1"]}`,
			controller.CloudResult{CallID: testCallID, Status: cloud.StatusOK, Machines: names},
		},
		{
			"delete", controller.CloudCall{CallID: testCallID, Op: controller.CloudDelete, Machines: names},
			postRequest("/machines/delete", `{"benches":["n-1"]}`),
			http.StatusOK, `{"benches":["n-1"]}`,
			controller.CloudResult{CallID: testCallID, Status: cloud.StatusOK},
		},
		{
			"list", controller.CloudCall{CallID: testCallID, Op: controller.CloudList},
			getRequest("/machines?most=500"),
			http.StatusOK, `{"truncated":true}`,
			controller.CloudResult{CallID: testCallID, Status: cloud.StatusOK, Page: cloud.MachinePage{Truncated: true}},
		},
		{
			"list next page", controller.CloudCall{CallID: testCallID, Op: controller.CloudList, After: "n 1"},
			getRequest("/machines?most=500&since=n+1"),
			http.StatusServiceUnavailable, "{",
			controller.CloudResult{CallID: testCallID, Status: cloud.StatusRefused},
		},
	})
}
