package harness

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// callTimeout is the time after which callers of the control plane turn to another node.
const callTimeout = time.Second

// Route returns one route of a configuration.
func Route(name, host string, port int, service string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path-prefix": fmt.Sprintf("/%d/", port), "route-type": "idempotent",
		"timeout-ms": 2000, "target-latency-ms": 250, "priority": 2, "service": service, "max-attempts": 2,
	}
}

// Configuration returns a configuration document.
func Configuration(version int, services []string, routes ...map[string]any) []byte {
	list := []map[string]any{}
	for _, s := range services {
		list = append(list, map[string]any{
			"name": s, "health-check-path": "/health", "max-connections": 2000, "protocol": "h1", "tls": false})
	}
	text, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	if err != nil {
		panic(err) // only basic types
	}
	return text
}

// Call sends one call and returns the status and the body of its answer. The status is 0
// when there is no answer within a second.
func (d *Deployment) Call(method, address, path string, body []byte) (int, []byte) {
	client := http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

const configurationPath = "/boragepost/configuration"

// Put sends a configuration to the nodes in turn, with increasing pauses, until one
// acknowledges it, and returns that node, or nil when none does before the timeout.
func (d *Deployment) Put(version int, document []byte, timeout time.Duration, nodes ...*Machine) *Machine {
	end, pause := time.Now().Add(timeout), 50*time.Millisecond
	for i := 0; time.Now().Before(end); i++ {
		m := nodes[i%len(nodes)]
		status, _ := d.Call(http.MethodPut, d.ControlAddress(m), configurationPath, document)
		d.Note("operator: PUT version %d at %s: %s", version, m.Name, describe(status))
		if status == http.StatusOK {
			return m
		}
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
	return nil
}

// Get reads the configuration from the nodes in turn until one returns it, and returns its
// version, or 0 when none does before the timeout.
func (d *Deployment) Get(timeout time.Duration, nodes ...*Machine) int {
	end, pause := time.Now().Add(timeout), 50*time.Millisecond
	for i := 0; time.Now().Before(end); i++ {
		m := nodes[i%len(nodes)]
		status, body := d.Call(http.MethodGet, d.ControlAddress(m), configurationPath, nil)
		var read struct{ Version int }
		if status == http.StatusOK && json.Unmarshal(body, &read) == nil {
			d.Note("operator: GET at %s: version %d", m.Name, read.Version)
			return read.Version
		}
		d.Note("operator: GET at %s: %s", m.Name, describe(status))
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
	return 0
}

func describe(status int) string {
	if status == 0 {
		return "no answer"
	}
	return fmt.Sprint("status ", status)
}
