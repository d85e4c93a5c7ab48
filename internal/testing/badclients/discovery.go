package badclients

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"
)

const (
	listVersion       = 1
	heartbeatInterval = time.Second // between the empty lines of a watch
)

// endpoint is a worker's entry in discovery's list.
type endpoint struct {
	ID      string  `json:"id"`
	Address string  `json:"addr"`
	Zone    string  `json:"zone"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
}

// endpointList is discovery's list of workers.
type endpointList struct {
	Version int        `json:"version"`
	Full    bool       `json:"full"`
	Servers []endpoint `json:"servers"`
}

// listOf returns the list of the given workers, all in service.
func listOf(workers []*worker) endpointList {
	list := endpointList{Version: listVersion, Full: true}
	for _, w := range workers {
		list.Servers = append(list.Servers, endpoint{ID: w.id, Address: w.address, Zone: zone, State: "in_service", Weight: 1})
	}
	return list
}

// serveDiscovery starts a discovery service whose list does not change, and returns its address.
func serveDiscovery(list endpointList) (server *http.Server, address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	server = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		json.NewEncoder(rw).Encode(list)
		if r.URL.Query().Get("follow") == "" {
			return
		}
		for http.NewResponseController(rw).Flush() == nil {
			select {
			case <-time.After(heartbeatInterval):
				fmt.Fprintln(rw)
			case <-r.Context().Done():
				return
			}
		}
	})}
	go server.Serve(listener)
	return server, listener.Addr().String(), nil
}
