package simulator

import (
	"time"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"

	"github.com/cactuspin/cactuspin"
)

// Scenario describes the topology of a run, the faults in it and its limits.
type Scenario struct {
	Zones []string `yaml:"zones"`
	// HostsPerZone, TargetsPerZone and CallersPerZone size the topology.
	HostsPerZone   int `yaml:"hosts_per_zone"`
	TargetsPerZone int `yaml:"targets_per_zone"`
	CallersPerZone int `yaml:"callers_per_zone"`
	// PreviousBuildHosts is the number of hosts, from the first on, that run the build
	// before evacuations, as during a rolling upgrade.
	PreviousBuildHosts int `yaml:"previous_build_hosts"`
	// WarmUp is the time before callers start; the times of faults count from its end.
	WarmUp Duration `yaml:"lead"`
	// Length is how long callers send requests.
	Length Duration `yaml:"length"`
	Faults []Fault  `yaml:"faults"`
	// Era is the era that the store names at the start; 0 means that it names none.
	Era cactuspin.Era `yaml:"era"`
	// MinServed is the minimum share of requests that must be served in time.
	MinServed float64 `yaml:"served"`
	// MinInTime is the minimum share of requests that must be served within the
	// latency objective.
	MinInTime float64 `yaml:"in_time"`
	// MaxStoreCallRate is the maximum number of store calls per second, averaged over
	// the run; 0 means no limit.
	MaxStoreCallRate float64 `yaml:"calls"`
	// StoreBandwidth and HostBandwidth are the bandwidths of the store's link and of a
	// host's link, in bytes per second; 0 means no limit.
	StoreBandwidth float64 `yaml:"store_rate"`
	HostBandwidth  float64 `yaml:"host_rate"`
	// ReadCost is the processor time that a host needs to read one registration from
	// the store.
	ReadCost Duration `yaml:"read_cost"`
	// MaxRecoveryTime is the longest time allowed from the last kill_all until an
	// interval in which nine tenths of the requests are served; 0 means no limit.
	MaxRecoveryTime Duration `yaml:"recovered"`
}

// Fault is a fault injected during a run.
type Fault struct {
	At   Duration `yaml:"at"`
	Kind string   `yaml:"kind"`
	For  Duration `yaml:"for"`
	// Host, Target and Zone select what the fault affects; Count is the number of hosts
	// or targets, counted from there.
	Host   int     `yaml:"host"`
	Target int     `yaml:"target"`
	Zone   string  `yaml:"zone"`
	Count  int     `yaml:"count"`
	Share  float64 `yaml:"share"`
	Mode   string  `yaml:"how"`
}

// Duration is a time.Duration written as text such as 1.5s.
type Duration struct{ time.Duration }

// UnmarshalYAML parses a duration.
func (d *Duration) UnmarshalYAML(n *yaml.Node) (err error) {
	d.Duration, err = time.ParseDuration(n.Value)
	return errors.WithStack(err)
}

// Parse parses a scenario and fills in its defaults.
func Parse(text []byte) (s *Scenario, err error) {
	defer func() { err = errors.Wrap(err, "parse scenario") }()
	s = &Scenario{
		Zones: []string{"a", "b", "c"}, HostsPerZone: 2, TargetsPerZone: 4, CallersPerZone: 24,
		WarmUp: Duration{2 * time.Second}, Length: Duration{20 * time.Second}, MinServed: 0.9,
	}
	return s, errors.WithStack(yaml.Unmarshal(text, s))
}

func (s *Scenario) warmUp() time.Duration { return s.WarmUp.Duration }
