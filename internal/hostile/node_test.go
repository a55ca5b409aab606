package hostile

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/standin"
	"curranthold.example/curranthold/pkg/client"
	"curranthold.example/curranthold/pkg/header"
)

const (
	operatorToken = "hostile-token"
	// memoryBytes is the setting memory-bytes of the node.
	memoryBytes = 64 << 20
	// descriptorLimit is the node's limit of open descriptors.
	descriptorLimit = 256
	// serveTimeout bounds the wait for an ordinary request to be served.
	serveTimeout = 60 * time.Second
	// requestTimeout bounds one sending of an ordinary request.
	requestTimeout = 10 * time.Second
)

// binaryDirectory holds the commands that TestMain has built.
var binaryDirectory string

func TestMain(m *testing.M) {
	directory, err := os.MkdirTemp("", "hostile")
	if err == nil {
		err = standin.Build(context.Background(), directory, "curranthold.example/curranthold/cmd/...")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binaryDirectory = directory
	code := m.Run()
	_ = os.RemoveAll(directory)
	os.Exit(code)
}

// testNode is a running node with its backend server and platform.
type testNode struct {
	t       *testing.T
	process *standin.Process
	logs    syncBuffer
	ip      string
	key     string
	// peakDescriptors is the highest number of open descriptors that was seen.
	peakDescriptors int
}

// syncBuffer is a buffer that is safe for concurrent writes.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

// tail returns the end of the buffer.
func (b *syncBuffer) tail() string {
	const tailBytes = 4000
	b.mu.Lock()
	defer b.mu.Unlock()
	return string(b.b.Bytes()[max(0, b.b.Len()-tailBytes):])
}

// startNode starts a node with lowered limits, and waits until it serves an ordinary
// request.
func startNode(t *testing.T) *testNode {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes")
	}
	n := &testNode{t: t, ip: fmt.Sprintf("127.19.%d.1", 1+os.Getpid()%250)}
	standIn := filepath.Join(binaryDirectory, "curranthold-stand-in")
	platform := n.start(standIn, "platform", "-listen", "127.0.0.1:0")
	file := filepath.Join(t.TempDir(), "node.json")
	qt.Assert(t, os.WriteFile(file, n.settings(platform.Ready()), 0o600), qt.IsNil)
	n.process = n.start("/bin/sh", "-c", `ulimit -n "$0" && exec "$@"`, strconv.Itoa(descriptorLimit),
		filepath.Join(binaryDirectory, "currantholdd"), "run", "-settings", file)
	n.start(standIn, "backend", "-service", "s", "-node", n.address("backend"), "-listen", n.ip+":7004",
		"-runs", filepath.Join(t.TempDir(), "runs.jsonl"), "-slots", "20", "-service-time-ms", "5")
	n.declare()
	n.awaitServed()
	return n
}

func (n *testNode) start(path string, args ...string) *standin.Process {
	n.t.Helper()
	p, err := standin.StartProcess(context.Background(), standin.ProcessConfig{Path: path, Args: args, Log: &n.logs})
	qt.Assert(n.t, err, qt.IsNil)
	n.t.Cleanup(func() { _ = p.Close() })
	return p
}

// ports maps the name of a listener to its port.
var ports = map[string]string{"caller": "7000", "backend": "7001", "peer": "7002", "operator": "7003"}

func (n *testNode) address(listener string) string { return net.JoinHostPort(n.ip, ports[listener]) }

func (n *testNode) settings(platform string) []byte {
	token := sha256.Sum256([]byte(operatorToken))
	encoded, err := json.Marshal(map[string]any{
		"host":              "h",
		"availability-zone": "a",
		"caller-address":    n.address("caller"),
		"backend-address":   n.address("backend"),
		"peer-address":      n.address("peer"),
		"operator-address":  n.address("operator"),
		"seeds":             []string{n.address("peer")},
		"platform":          map[string]any{"table-address": platform, "object-store-address": platform},
		"fleet-secret":      strings.Repeat("5a", 32),
		"operators":         []any{map[string]any{"name": "test", "token-sha256": hex.EncodeToString(token[:])}},
		"limits":            map[string]any{"memory-bytes": memoryBytes},
	})
	qt.Assert(n.t, err, qt.IsNil)
	return encoded
}

// declare declares a service, its route and a client account with a key.
func (n *testNode) declare() {
	n.t.Helper()
	var batch client.Batch
	qt.Assert(n.t, json.Unmarshal([]byte(`{"objects": [
		{"kind": "availability-zone", "name": "a", "spec": {"in-service": true}},
		{"kind": "service", "name": "s", "spec": {}},
		{"kind": "client-account", "name": "c", "spec": {"rate": 100000, "burst": 100000}},
		{"kind": "route", "name": "r", "spec": {"path-prefix": "/r", "service": "s", "urgency": "normal", "timeout-ms": 5000}}
	]}`), &batch), qt.IsNil)
	operator := &client.Client{Token: operatorToken, Nodes: []string{"http://" + n.address("operator")}}
	_, err := operator.Apply(n.t.Context(), "declare", batch, false)
	qt.Assert(n.t, err, qt.IsNil)
	created, err := operator.CreateKey(n.t.Context(), "key", client.KeyRequest{Name: "k", ClientAccount: "c"})
	qt.Assert(n.t, err, qt.IsNil)
	n.key = created.Key
}

// awaitServed sends an ordinary request until it is served.
func (n *testNode) awaitServed() {
	n.t.Helper()
	var last string
	for end := time.Now().Add(serveTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if last = n.ordinaryRequest(); last == "" {
			return
		}
	}
	n.t.Errorf("no ordinary request was served: %s; the node %s", last, n.process.Ended())
}

// ordinaryRequest sends one request over a new connection. It returns "" if the
// request was served, else what went wrong.
func (n *testNode) ordinaryRequest() string {
	ctx, cancel := context.WithTimeout(n.t.Context(), requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.address("caller")+"/r/x", nil)
	qt.Assert(n.t, err, qt.IsNil)
	request.Header.Set(header.Key, n.key)
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return fmt.Sprintf("%s %s %v", response.Status, body, err)
	}
	return ""
}

// peakMemory returns the highest resident memory of the node so far, in bytes.
func (n *testNode) peakMemory() int { return n.memory("VmHWM:") }

// memory returns a value from the node's status in /proc that is stated in KB.
func (n *testNode) memory(name string) int {
	n.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.process.PID()))
	qt.Assert(n.t, err, qt.IsNil, qt.Commentf("the node: %s\n%s", n.process.Ended(), n.logs.tail()))
	_, after, found := strings.Cut(string(status), name)
	qt.Assert(n.t, found, qt.IsTrue, qt.Commentf("the node has ended: %s", n.logs.tail()))
	kb, err := strconv.Atoi(strings.Fields(after)[0])
	qt.Assert(n.t, err, qt.IsNil)
	return kb << 10
}

// countDescriptors updates peakDescriptors.
func (n *testNode) countDescriptors() {
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.process.PID()))
	if err == nil {
		n.peakDescriptors = max(n.peakDescriptors, len(open))
	}
}
