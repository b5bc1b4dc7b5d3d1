package server

import (
	"net/http"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"

	"frostdock.example/frostdock/internal/cloud"
	"frostdock.example/frostdock/internal/controller"
)

const (
	cloudTimeout  = 5 * time.Second
	cloudMaxConns = 6
	cloudPageSize = "500"
)

// cloudClient calls the API of the cloud.
type cloudClient struct {
	post   postFunc
	client *fasthttp.HostClient
}

func newCloudClient(addr string, post postFunc) *cloudClient {
	return &cloudClient{post: post, client: newHostClient(addr, cloudMaxConns)}
}

// call makes one call and posts its result.
func (c *cloudClient) call(call controller.CloudCall) {
	result := controller.CloudResult{CallID: call.CallID}
	switch call.Op {
	case controller.CloudCatalog:
		result.Status = c.send(http.MethodGet, "/catalog", nil, &result.Catalog)
	case controller.CloudRent:
		result.Status = c.send(http.MethodPost, "/machines", call.Rental, &result.Machines)
	case controller.CloudDelete:
		result.Status = c.send(http.MethodPost, "/machines/delete", call.Machines, nil)
	case controller.CloudList:
		result.Status = c.send(http.MethodGet, machinesPath(call.After), nil, &result.Page)
	}
	c.post(result)
}

func (c *cloudClient) send(method, path string, body, result any) cloud.Status {
	request := jsonRequest{method: method, path: path, body: body, timeout: cloudTimeout}
	return cloud.StatusOf(exchange(c.client, request, result))
}

// machinesPath returns the path of the page of machines that come after the given name; if it is empty,
// of the first page.
func machinesPath(after string) string {
	path := "/machines?most=" + cloudPageSize
	if after != "" {
		path += "&since=" + url.QueryEscape(after)
	}
	return path
}
