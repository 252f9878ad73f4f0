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
	// _devPort is the default first port. It is below the range from which
	// Linux takes the ports of outgoing connections.
	_devPort = 17100
	// _fleetPorts is the number of ports that are set aside.
	_fleetPorts = 80
	_entryPorts = 10
	_hostPorts  = 50
	_portStep   = 10
)

// Bearer tokens of the development system, which listens on loopback only.
const (
	_demoToken     = "demo-token"
	_operatorToken = "operator-token"
)

// fleet is the settings of all processes of a small system on loopback.
type fleet struct {
	log     *berylsettings.Settings
	entries []*berylsettings.Settings
	// workers, runners and agents have one element for each host.
	workers []*berylsettings.Settings
	runners []*berylsettings.Settings
	agents  []*berylsettings.Settings
}

// fleetDomains are the failure domains, each with one entry and one host.
func fleetDomains() []string { return []string{"ware-east", "belch-north", "petersham"} }

func newFleet(base int, domains []string) *fleet {
	at := func(n int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(base+n))
	}
	f := &fleet{log: &berylsettings.Settings{
		Role: berylsettings.RoleLog,
		Dump: at(1),
		Log:  &berylsettings.Log{Bind: at(0), Retention: berylduration.Duration(time.Hour)},
	}}
	entries := make([]netip.AddrPort, 0, len(domains))
	for i := range domains {
		entries = append(entries, at(_entryPorts+i*_portStep))
	}
	for i, domain := range domains {
		f.addEntry(domain, entries, func(n int) netip.AddrPort { return at(_entryPorts + i*_portStep + n) })
		f.addHost(domain, entries, func(n int) netip.AddrPort { return at(_hostPorts + i*_portStep + n) })
	}
	return f
}

func (f *fleet) addEntry(domain string, entries []netip.AddrPort, at func(n int) netip.AddrPort) {
	f.entries = append(f.entries, &berylsettings.Settings{
		Role: berylsettings.RoleEntry,
		Dump: at(2),
		Entry: &berylsettings.Entry{
			Name:      "entry-" + strconv.Itoa(len(f.entries)+1),
			Domain:    domain,
			Bind:      at(0),
			HTTP:      at(1),
			Entries:   entries,
			Log:       f.log.Log.Bind,
			Operators: map[string]string{"operator": digest(_operatorToken)},
			Retention: f.log.Log.Retention,
		},
	})
}

func (f *fleet) addHost(domain string, entries []netip.AddrPort, at func(n int) netip.AddrPort) {
	shape := berylshape.Shape{Accelerators: 8, Cores: 64, Memory: 128 * berylsize.GB}
	const slots = 8
	f.workers = append(f.workers, &berylsettings.Settings{
		Role:   berylsettings.RoleWorker,
		Dump:   at(3),
		Worker: &berylsettings.Worker{Bind: at(2), Shape: shape},
	})
	f.runners = append(f.runners, &berylsettings.Settings{
		Role:   berylsettings.RoleRunner,
		Dump:   at(5),
		Runner: &berylsettings.Runner{Bind: at(4), Slots: slots},
	})
	f.agents = append(f.agents, &berylsettings.Settings{
		Role: berylsettings.RoleAgent,
		Dump: at(1),
		Agent: &berylsettings.Agent{
			Name:    "host-" + strconv.Itoa(len(f.agents)+1),
			Domain:  domain,
			Rack:    domain + "-r1",
			Bind:    at(0),
			Entries: entries,
			Worker:  &berylsettings.Host{Addr: at(2), Shape: shape},
			Runner:  &berylsettings.Backend{Addr: at(4), Slots: slots},
		},
	})
}

func digest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// named is the settings of one process with the name of its file.
type named struct {
	name     string
	settings *berylsettings.Settings
}

// all returns every process in the order in which they start.
func (f *fleet) all() []named {
	list := make([]named, 0, 1+len(f.entries)+3*len(f.agents))
	list = append(list, named{name: "log", settings: f.log})
	for i := range f.entries {
		n := "-" + strconv.Itoa(i+1)
		list = append(list, named{name: "entry" + n, settings: f.entries[i]})
	}
	for i := range f.agents {
		n := "-" + strconv.Itoa(i+1)
		list = append(list,
			named{name: "worker" + n, settings: f.workers[i]},
			named{name: "runner" + n, settings: f.runners[i]},
			named{name: "agent" + n, settings: f.agents[i]},
		)
	}
	return list
}

// write writes a settings file for each process and the configuration.
func (f *fleet) write(dir string) ([]string, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, berylerror.Unavailable.Wrap(err, "write settings")
	}
	var files []string
	for _, p := range f.all() {
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

// freeBlock returns the first of enough adjacent ports that are free on
// loopback. The range lies below that of outgoing connections.
func freeBlock() (int, error) {
	const low, high, tries = 18000, 32000, 50
	for range tries {
		base := low + rand.IntN((high-low)/_fleetPorts)*_fleetPorts
		if blockFree(base) {
			return base, nil
		}
	}
	return 0, berylerror.Unavailable.Errorf("no %d adjacent free ports found between %d and %d", _fleetPorts, low, high)
}

func blockFree(base int) bool {
	for port := base; port < base+_fleetPorts; port++ {
		lis, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return false
		}
		_ = lis.Close()
	}
	return true
}
