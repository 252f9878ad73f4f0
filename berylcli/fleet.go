package berylcli

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"berylglade/berylduration"
	"berylglade/berylerror"
	"berylglade/berylsettings"
	"berylglade/berylshape"
	"berylglade/berylsize"
)

// Ports of the development system, relative to its first port.
const (
	// _devPort is the default first port. It is below the ephemeral port range
	// of Linux.
	_devPort = 17100
	// _fleetPorts is the number of consecutive ports of the system.
	_fleetPorts = 80
	// _entryPorts and _hostPorts are the first ports of the first entry and
	// the first host; those of the next one are _portStep higher.
	_entryPorts = 10
	_hostPorts  = 50
	_portStep   = 10
)

// Bearer tokens of the development system, which listens on loopback only.
const (
	_demoToken     = "demo-token"
	_operatorToken = "operator-token"
)

// fleet has the settings of all processes of a small system on loopback.
type fleet struct {
	log     *berylsettings.Settings
	entries []*berylsettings.Settings
	// workers, runners and agents have one element for each host.
	workers []*berylsettings.Settings
	runners []*berylsettings.Settings
	agents  []*berylsettings.Settings
}

// fleetDomains returns the failure domains, each of which has one entry and one
// host.
func fleetDomains() []string { return []string{"ware-east", "belch-north", "petersham"} }

// newFleet returns a system whose first port is base.
func newFleet(base int, domains []string) *fleet {
	addr := func(n int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(base+n))
	}
	f := &fleet{log: &berylsettings.Settings{
		Role: berylsettings.RoleLog,
		Dump: addr(1),
		Log:  &berylsettings.Log{Bind: addr(0), Retention: berylduration.Duration(time.Hour)},
	}}
	entries := make([]netip.AddrPort, 0, len(domains))
	for i := range domains {
		entries = append(entries, addr(_entryPorts+i*_portStep))
	}
	for i, domain := range domains {
		f.addEntry(domain, entries, func(n int) netip.AddrPort { return addr(_entryPorts + i*_portStep + n) })
		f.addHost(domain, entries, func(n int) netip.AddrPort { return addr(_hostPorts + i*_portStep + n) })
	}
	return f
}

// addEntry adds an entry; addr returns the n-th address of its ports.
func (f *fleet) addEntry(domain string, entries []netip.AddrPort, addr func(n int) netip.AddrPort) {
	f.entries = append(f.entries, &berylsettings.Settings{
		Role: berylsettings.RoleEntry,
		Dump: addr(2),
		Entry: &berylsettings.Entry{
			Name:      "entry-" + strconv.Itoa(len(f.entries)+1),
			Domain:    domain,
			Bind:      addr(0),
			HTTP:      addr(1),
			Entries:   entries,
			Log:       f.log.Log.Bind,
			Operators: map[string]string{"operator": tokenHash(_operatorToken)},
			Retention: f.log.Log.Retention,
		},
	})
}

// addHost adds a worker, a backend server and the agent for both; addr returns the
// n-th address of their ports.
func (f *fleet) addHost(domain string, entries []netip.AddrPort, addr func(n int) netip.AddrPort) {
	shape := berylshape.Shape{Accelerators: 8, Cores: 64, Memory: 128 * berylsize.GB}
	const slots = 8
	f.workers = append(f.workers, &berylsettings.Settings{
		Role:   berylsettings.RoleWorker,
		Dump:   addr(3),
		Worker: &berylsettings.Worker{Bind: addr(2), Shape: shape},
	})
	f.runners = append(f.runners, &berylsettings.Settings{
		Role:   berylsettings.RoleRunner,
		Dump:   addr(5),
		Runner: &berylsettings.Runner{Bind: addr(4), Slots: slots},
	})
	f.agents = append(f.agents, &berylsettings.Settings{
		Role: berylsettings.RoleAgent,
		Dump: addr(1),
		Agent: &berylsettings.Agent{
			Name:    "host-" + strconv.Itoa(len(f.agents)+1),
			Domain:  domain,
			Rack:    domain + "-r1",
			Bind:    addr(0),
			Entries: entries,
			Worker:  &berylsettings.Host{Addr: addr(2), Shape: shape},
			Runner:  &berylsettings.Backend{Addr: addr(4), Slots: slots},
		},
	})
}

// tokenHash returns the SHA-256 of a token in hexadecimal.
func tokenHash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// namedSettings has the settings of a process and its name, which is also the
// base name of its settings file.
type namedSettings struct {
	name     string
	settings *berylsettings.Settings
}

// processes returns the settings of every process in starting order.
func (f *fleet) processes() []namedSettings {
	list := make([]namedSettings, 0, 1+len(f.entries)+3*len(f.agents))
	list = append(list, namedSettings{name: "log", settings: f.log})
	for i := range f.entries {
		n := "-" + strconv.Itoa(i+1)
		list = append(list, namedSettings{name: "entry" + n, settings: f.entries[i]})
	}
	for i := range f.agents {
		n := "-" + strconv.Itoa(i+1)
		list = append(list,
			namedSettings{name: "worker" + n, settings: f.workers[i]},
			namedSettings{name: "runner" + n, settings: f.runners[i]},
			namedSettings{name: "agent" + n, settings: f.agents[i]},
		)
	}
	return list
}

// write writes the configuration and a settings file for each process. It returns
// the names of the files.
func (f *fleet) write(dir string) ([]string, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, berylerror.Unavailable.Wrap(err, "write settings")
	}
	var files []string
	for _, p := range f.processes() {
		data, err := json.MarshalIndent(p.settings, "", "\t")
		if err != nil {
			return nil, berylerror.Internal.Wrap(err, "encode settings")
		}
		file := filepath.Join(dir, p.name+".hujson")
		if err := os.WriteFile(file, append(data, '\n'), 0o644); err != nil {
			return nil, berylerror.Unavailable.Wrap(err, "write settings")
		}
		files = append(files, file)
	}
	file := filepath.Join(dir, "configuration.hujson")
	if err := os.WriteFile(file, []byte(_devConfig), 0o644); err != nil {
		return nil, berylerror.Unavailable.Wrap(err, "write configuration")
	}
	return append(files, file), nil
}

// findFreePorts returns the first of _fleetPorts consecutive ports that are free
// on loopback. It searches below the ephemeral port range of Linux.
func findFreePorts() (int, error) {
	const low, high, tries = 18000, 32000, 50
	for range tries {
		base := low + rand.IntN((high-low)/_fleetPorts)*_fleetPorts
		if portsFree(base) {
			return base, nil
		}
	}
	return 0, berylerror.Unavailable.Errorf("found no %d consecutive free ports between %d and %d", _fleetPorts, low, high)
}

func portsFree(base int) bool {
	for port := base; port < base+_fleetPorts; port++ {
		lis, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return false
		}
		_ = lis.Close()
	}
	return true
}
