package proof

import (
	"bytes"
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"curranthold.example/curranthold/internal/history"
	"curranthold.example/curranthold/internal/standin"
	"curranthold.example/curranthold/pkg/client"
	"curranthold.example/curranthold/pkg/object"
)

const (
	operatorToken  = "proof-token"
	callerPort     = 7000
	backendPort    = 7001
	peerPort       = 7002
	operatorPort   = 7003
	serverPort     = 7004
	peerListenPort = 7005
	// awaitTimeout bounds the wait for a condition that must eventually hold.
	awaitTimeout = 60 * time.Second
)

// binaryDirectory holds the commands that TestMain has built.
var binaryDirectory string

// fleetCount counts the fleets started by this process. Each fleet derives its IP
// addresses from its number.
var fleetCount atomic.Int32

// processorsPerFleet is the number of processors for each fleet that runs in
// parallel.
const processorsPerFleet = 2

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("test.parallel", strconv.Itoa(max(runtime.NumCPU()/processorsPerFleet, 1))); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	directory, err := os.MkdirTemp("", "proof")
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

// hostSpec describes one host to start: its identifier, its zone, and the service of
// its backend server.
type hostSpec struct {
	id, zone, service string
	// backend holds additional command-line flags for the backend server.
	backend []string
}

// host is one host of a running fleet, with its node and its backend server.
type host struct {
	spec hostSpec
	ip   string
	// settings is the path of the node's settings file.
	settings  string
	peerProxy *peerProxy
	node      *standin.Process
	backend   *standin.Process
}

func (h *host) callerAddress() string { return h.address(callerPort) }
func (h *host) operatorURL() string   { return "http://" + h.address(operatorPort) }
func (h *host) serverAddress() string { return h.address(serverPort) }

func (h *host) address(port int) string { return h.ip + ":" + strconv.Itoa(port) }

// fleet is a running fleet with its platform. Connections from a zone to the platform
// or to another zone pass through relays, so that a test can partition the zones.
type fleet struct {
	t        testing.TB
	ctx      context.Context
	dir      string
	network  string
	platform *standin.Process
	// platformRelays holds the relay to the platform for each zone.
	platformRelays map[string]*standin.Relay
	zones          []string
	hosts          map[string]*host
	hostList       []*host
	// disabled holds the names of the mechanisms that are disabled on all nodes.
	disabled []string
	// zoneByIP maps the IP address of each host to its zone. Peer proxies use it to
	// find the zone that a connection comes from.
	zoneByIP sync.Map
	logs     syncBuffer
	// operationCount counts the operation identifiers, to make each unique.
	operationCount atomic.Int64
	// warmupRecords holds the calls that were made before the measured load, as
	// JSON lines, and warmupCalls those of them that are decoded already.
	warmupRecords syncBuffer
	warmupCalls   []history.Call
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

// newFleet starts a fleet, applies the objects, and waits until the hosts' quota
// fractions sum to nearly the full quota (see awaitQuota).
func newFleet(t testing.TB, specs []hostSpec, objects ...string) *fleet {
	t.Helper()
	return newFleetWithDisabled(t, nil, specs, objects...)
}

// newFleetWithDisabled is newFleet with the given mechanisms disabled on all nodes.
func newFleetWithDisabled(t testing.TB, disabled []string, specs []hostSpec, objects ...string) *fleet {
	t.Helper()
	f := startFleet(t, disabled, specs, objects...)
	f.awaitQuota()
	return f
}

// startFleet starts a fleet with the given mechanisms disabled, and applies the
// objects. It does not wait for the hosts' quota fractions.
func startFleet(t testing.TB, disabled []string, specs []hostSpec, objects ...string) *fleet {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes")
	}
	number := int(fleetCount.Add(1))
	f := &fleet{
		t:              t,
		ctx:            t.Context(),
		dir:            t.TempDir(),
		network:        fmt.Sprintf("127.%d.%d", 20+os.Getpid()%200, number%250),
		platformRelays: make(map[string]*standin.Relay),
		hosts:          make(map[string]*host),
		disabled:       disabled,
	}
	t.Cleanup(f.logProcessOutput)
	f.platform = f.startProcess("curranthold-stand-in", "platform", "-listen", "127.0.0.1:0")
	for i, spec := range specs {
		f.addHost(spec, i+1)
	}
	var wg sync.WaitGroup
	for _, h := range f.hostList {
		wg.Go(func() { f.startHost(h) })
	}
	wg.Wait()
	f.apply(objects...)
	return f
}

// addHost adds a host to the fleet and writes its settings file. It does not start
// the host. The number is the last part of the host's IP address.
func (f *fleet) addHost(spec hostSpec, number int) {
	if f.platformRelays[spec.zone] == nil {
		relay, err := standin.NewRelay(f.platform.Ready())
		qt.Assert(f.t, err, qt.IsNil)
		f.t.Cleanup(func() { _ = relay.Close() })
		f.platformRelays[spec.zone] = relay
		f.zones = append(f.zones, spec.zone)
	}
	h := &host{spec: spec, ip: fmt.Sprintf("%s.%d", f.network, number)}
	f.zoneByIP.Store(h.ip, spec.zone)
	h.peerProxy = newPeerProxy(f, h)
	h.settings = filepath.Join(f.dir, spec.id+".json")
	f.hosts[spec.id] = h
	f.hostList = append(f.hostList, h)
	qt.Assert(f.t, os.WriteFile(h.settings, f.settingsOf(h), 0o600), qt.IsNil)
}

func (f *fleet) settingsOf(h *host) []byte {
	token := sha256.Sum256([]byte(operatorToken))
	platform := f.platformRelays[h.spec.zone].Address()
	settings := map[string]any{
		"host":                h.spec.id,
		"availability-zone":   h.spec.zone,
		"caller-address":      h.callerAddress(),
		"backend-address":     h.address(backendPort),
		"peer-address":        h.address(peerPort),
		"peer-listen-address": h.address(peerListenPort),
		"operator-address":    h.address(operatorPort),
		"seeds":               []string{f.hostList[0].address(peerPort)},
		"platform":            map[string]any{"table-address": platform, "object-store-address": platform, "timeout-ms": 500},
		"fleet-secret":        strings.Repeat("5a", 32),
		"operators":           []any{map[string]any{"name": "proof", "token-sha256": hex.EncodeToString(token[:])}},
		"limits":              map[string]any{"disabled-mechanisms": append([]string{}, f.disabled...)},
	}
	encoded, err := json.Marshal(settings)
	qt.Assert(f.t, err, qt.IsNil)
	return encoded
}

// startProcess starts a process of the fleet. The process is killed when the test
// ends.
func (f *fleet) startProcess(command string, args ...string) *standin.Process {
	p, err := standin.StartProcess(context.Background(), standin.ProcessConfig{
		Path: filepath.Join(binaryDirectory, command), Args: args, Log: &f.logs,
	})
	if !checkNoError(f.t, err) {
		return nil
	}
	f.t.Cleanup(func() {
		if reason := p.Ended(); reason != "" && f.t.Failed() {
			f.t.Logf("process %d, %s %v, ended before the test did: %s", p.PID(), command, args, reason)
		}
		_ = p.Close()
	})
	return p
}

func checkNoError(t testing.TB, err error) bool { return qt.Check(t, err, qt.IsNil) }

// startHost starts the node and the backend server of a host.
func (f *fleet) startHost(h *host) {
	f.startNode(h)
	f.startBackend(h)
}

func (f *fleet) startNode(h *host) {
	h.node = f.startProcess("currantholdd", "run", "-settings", h.settings)
}

func (f *fleet) startBackend(h *host, flags ...string) {
	args := []string{
		"backend", "-service", h.spec.service, "-node", h.address(backendPort),
		"-listen", h.serverAddress(), "-runs", filepath.Join(f.dir, "runs-"+h.spec.id+".jsonl"),
	}
	args = append(args, h.spec.backend...)
	h.backend = f.startProcess("curranthold-stand-in", append(args, flags...)...)
}

// client returns a client for the resource API of the given hosts, or of all
// hosts if none are given.
func (f *fleet) client(hosts ...*host) *client.Client {
	if len(hosts) == 0 {
		hosts = f.hostList
	}
	c := &client.Client{Token: operatorToken}
	for _, h := range hosts {
		c.Nodes = append(c.Nodes, h.operatorURL())
	}
	return c
}

func (f *fleet) newOperationID() string {
	return fmt.Sprintf("proof-%d-%d", time.Now().UnixNano(), f.operationCount.Add(1))
}

// apply applies objects and waits until they are in force on all hosts.
func (f *fleet) apply(objects ...string) {
	f.t.Helper()
	var batch client.Batch
	encoded := `{"objects": [` + strings.Join(objects, ",") + `]}`
	qt.Assert(f.t, json.Unmarshal([]byte(encoded), &batch), qt.IsNil)
	result, err := f.client().Apply(f.ctx, f.newOperationID(), batch, false)
	qt.Assert(f.t, err, qt.IsNil)
	f.awaitGeneration(result.Generation, awaitTimeout, f.hostList...)
}

// createKey creates a key of the client account and waits until it is in force on
// all hosts.
func (f *fleet) createKey(account, name string) string {
	f.t.Helper()
	result, err := f.client().CreateKey(f.ctx, f.newOperationID(), client.KeyRequest{Name: name, ClientAccount: account})
	qt.Assert(f.t, err, qt.IsNil)
	f.awaitGeneration(result.Generation, awaitTimeout, f.hostList...)
	return result.Key
}

// statusGeneration returns the generation that a host reports in its status, ready
// or not. It returns 0 if the host does not respond. See also appliedGeneration.
func (f *fleet) statusGeneration(h *host) uint64 {
	status, err := f.client(h).Status(f.ctx)
	if err != nil {
		return 0
	}
	return status.Generation
}

// awaitGeneration waits until all of the hosts report the generation or a later one
// in their status, ready or not, and returns how long that took. See also
// awaitApplied, which requires that they are ready.
func (f *fleet) awaitGeneration(generation uint64, within time.Duration, hosts ...*host) time.Duration {
	f.t.Helper()
	return f.await(within, fmt.Sprintf("generation %d", generation), func() bool {
		for _, h := range hosts {
			if f.statusGeneration(h) < generation {
				return false
			}
		}
		return true
	})
}

// await polls until the condition holds and returns how long that took. The test
// fails if it does not hold in time.
func (f *fleet) await(within time.Duration, what string, condition func() bool) time.Duration {
	f.t.Helper()
	start := time.Now()
	for !condition() {
		if time.Since(start) > within {
			f.t.Fatalf("waiting for %s: timed out after %s", what, within)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(start)
}

// awaitQuota waits until the quota fractions of all hosts sum to more than 99% of
// the full quota.
func (f *fleet) awaitQuota() {
	f.t.Helper()
	const minSum = 0.99e6
	took := f.await(awaitTimeout, "nearly the full quota", func() bool {
		sum := 0.0
		for _, h := range f.hostList {
			sum += f.metric(h, "curranthold-quota", "own-fraction-millionths")
		}
		return sum > minSum
	})
	f.t.Logf("the quota fractions summed to nearly the full quota after %s", took)
}

// metric returns one metric of a host's node, or 0 if the node does not report it.
func (f *fleet) metric(h *host, group, name string) float64 {
	var groups map[string]json.RawMessage
	if f.getJSON(h.operatorURL()+"/debug/vars", &groups) != nil {
		return 0
	}
	var values map[string]any
	if json.Unmarshal(groups[group], &values) != nil {
		return 0
	}
	value, _ := values[name].(float64)
	return value
}

func (f *fleet) getJSON(url string, into any) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return json.NewDecoder(response.Body).Decode(into)
}

// control sets the faults of a stand-in. The settings are a JSON object with the
// faults to change.
func (f *fleet) control(address, settings string) {
	f.t.Helper()
	request, err := http.NewRequestWithContext(f.ctx, http.MethodPost, "http://"+address+"/control", strings.NewReader(settings))
	qt.Assert(f.t, err, qt.IsNil)
	response, err := http.DefaultClient.Do(request)
	qt.Assert(f.t, err, qt.IsNil)
	qt.Assert(f.t, response.StatusCode < 300, qt.IsTrue)
	_ = response.Body.Close()
}

// load makes the calls of a plan through the nodes of the given hosts, or of all
// hosts if none are given. It returns the report and the records of the calls.
func (f *fleet) load(seed uint64, plan []standin.Stream, entries ...*host) (standin.Report, []history.Call) {
	f.t.Helper()
	if len(entries) == 0 {
		entries = f.hostList
	}
	addresses := make([]string, len(entries))
	for i, h := range entries {
		addresses[i] = h.callerAddress()
	}
	var records syncBuffer
	callers := standin.NewCallers(standin.CallersConfig{
		Entries: addresses, Plan: plan, Seed: seed, MaxInFlight: 2000, Calls: &records,
	})
	report := callers.Run(f.ctx)
	calls, err := history.ReadCalls(&records.b)
	qt.Assert(f.t, err, qt.IsNil)
	f.t.Logf("seed %d: %d call attempts", seed, len(calls))
	return report, calls
}

// logReport logs the report as a table.
func logReport(t testing.TB, report standin.Report) {
	var table strings.Builder
	qt.Check(t, report.WriteTable(&table), qt.IsNil)
	t.Logf("\n%s", table.String())
}

// runs returns the runs that all backend servers recorded.
func (f *fleet) runs() []history.Run {
	f.t.Helper()
	var all []history.Run
	for _, h := range f.hostList {
		file, err := os.Open(filepath.Join(f.dir, "runs-"+h.spec.id+".jsonl"))
		if err != nil {
			continue
		}
		// In rare cases, a killed backend server leaves a partial line. ReadRuns
		// then returns the runs before it and an error.
		runs, _ := history.ReadRuns(file)
		_ = file.Close()
		all = append(all, runs...)
	}
	return all
}

// checkHistory checks the history of the calls and of the runs that the backend
// servers recorded. It fails the test for each violation, and for each nested POST
// request that ran more than once.
func (f *fleet) checkHistory(calls []history.Call) {
	f.t.Helper()
	roots, nested := splitRuns(calls, f.runs())
	for i, v := range history.Check(calls, roots) {
		if i == 10 {
			f.t.Logf("more violations left out")
			break
		}
		f.t.Errorf("%s", v)
	}
	seen := make(map[string]bool)
	for _, run := range nested {
		if !strings.HasPrefix(run.Route, http.MethodPost) {
			continue
		}
		name := run.Route + " " + run.RequestID
		qt.Check(f.t, seen[name], qt.IsFalse, qt.Commentf("nested call %s ran twice", name))
		seen[name] = true
	}
}

// nestedID matches the request identifier of a nested call: the identifier of the
// caller's request, followed by the number of each nested call on the path to it.
var nestedID = regexp.MustCompile(`^(.+?)(\.[0-9]+)+$`)

// splitRuns separates the runs of nested calls, whose identifiers derive from those
// of the recorded calls, from all other runs.
func splitRuns(calls []history.Call, runs []history.Run) (roots, nested []history.Run) {
	recorded := make(map[string]bool)
	for _, call := range calls {
		recorded[call.RequestID] = true
	}
	for _, run := range runs {
		parts := nestedID.FindStringSubmatch(run.RequestID)
		if parts != nil && recorded[parts[1]] {
			nested = append(nested, run)
			continue
		}
		roots = append(roots, run)
	}
	return roots, nested
}

// partitionZone partitions a zone from the platform and from all other zones.
func (f *fleet) partitionZone(zone string) {
	f.platformRelays[zone].Cut(standin.BothDirections)
	f.setPartition(func(from, to string) bool { return (from == zone) != (to == zone) })
}

// setPartition blocks the connections from hosts of one zone to hosts of another if
// blocked returns true for the two zones, and restores all others.
func (f *fleet) setPartition(blocked func(from, to string) bool) {
	for _, h := range f.hostList {
		h.peerProxy.setBlocked(blocked)
	}
}

// restoreAll ends all partitions of zones from each other and from the platform.
func (f *fleet) restoreAll() {
	for _, relay := range f.platformRelays {
		relay.Restore(standin.BothDirections)
	}
	f.setPartition(func(string, string) bool { return false })
}

// zoneOf returns the zone of the host with the given IP address.
func (f *fleet) zoneOf(ip string) string {
	zone, _ := f.zoneByIP.Load(ip)
	name, _ := zone.(string)
	return name
}

// logProcessOutput logs the last 8 KiB of the processes' output if the test has
// failed, and writes all of it to the file named by PROOF_LOGS if that is set.
func (f *fleet) logProcessOutput() {
	if !f.t.Failed() {
		return
	}
	const maxLoggedBytes = 8 << 10
	text := f.logs.b.String()
	f.t.Logf("output of the processes:\n%s", text[max(0, len(text)-maxLoggedBytes):])
	if path := os.Getenv("PROOF_LOGS"); path != "" {
		_ = os.WriteFile(cmp.Or(path, "proof.log"), []byte(text), 0o600)
	}
}

// objectJSON returns the JSON encoding of an object of the resource API.
func objectJSON(kind object.Kind, name, spec string) string {
	return fmt.Sprintf(`{"kind": %q, "name": %q, "spec": %s}`, kind, name, spec)
}

// hostsInZone returns the hosts of a zone.
func (f *fleet) hostsInZone(zone string) []*host {
	var hosts []*host
	for _, h := range f.hostList {
		if h.spec.zone == zone {
			hosts = append(hosts, h)
		}
	}
	return hosts
}
