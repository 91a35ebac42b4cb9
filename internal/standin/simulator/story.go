package simulator

import (
	"time"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"
)

// Scenario says what a run has and what happens in it.
type Scenario struct {
	Zones []string `yaml:"zones"`
	// HostsPerZone, TargetsPerZone and CallersPerZone are sizes.
	HostsPerZone   int      `yaml:"hosts_per_zone"`
	TargetsPerZone int      `yaml:"targets_per_zone"`
	CallersPerZone int      `yaml:"callers_per_zone"`
	WarmUp         Duration `yaml:"lead"`
	Length         Duration `yaml:"length"`
	Faults         []Fault  `yaml:"faults"`
	// MinServed is the least share of requests that must be answered in time.
	MinServed float64 `yaml:"served"`
	// MaxStoreCallRate is the most calls of the store a second, over the run, or 0.
	MaxStoreCallRate float64 `yaml:"calls"`
	// StoreBandwidth and HostRate are what the links of the store and of a host carry,
	// in bytes a second, or 0 for no limit.
	StoreBandwidth float64 `yaml:"store_rate"`
	HostBandwidth  float64 `yaml:"host_rate"`
	// ReadCost is what a host's processor takes to read a registration.
	ReadCost Duration `yaml:"read_cost"`
	// MaxRecoveryTime is the most that may pass from the last kill_all until a second in
	// which nine tenths of the requests are served, or 0.
	MaxRecoveryTime Duration `yaml:"recovered"`
}

// Fault is something that happens during a run.
type Fault struct {
	At   Duration `yaml:"at"`
	Kind string   `yaml:"kind"`
	For  Duration `yaml:"for"`
	// Host, Target and Zone say where; Count says how many, from there on.
	Host   int     `yaml:"host"`
	Target int     `yaml:"target"`
	Zone   string  `yaml:"zone"`
	Count  int     `yaml:"count"`
	Share  float64 `yaml:"share"`
	Mode   string  `yaml:"how"`
}

// Duration is read from text such as 1.5s.
type Duration struct{ time.Duration }

// UnmarshalYAML reads a duration.
func (d *Duration) UnmarshalYAML(n *yaml.Node) (err error) {
	d.Duration, err = time.ParseDuration(n.Value)
	return errors.WithStack(err)
}

// Parse reads a story.
func Parse(text []byte) (s *Scenario, err error) {
	defer func() { err = errors.Wrap(err, "parse story") }()
	s = &Scenario{
		Zones: []string{"a", "b", "c"}, HostsPerZone: 2, TargetsPerZone: 4, CallersPerZone: 24,
		WarmUp: Duration{2 * time.Second}, Length: Duration{20 * time.Second}, MinServed: 0.9,
	}
	return s, errors.WithStack(yaml.Unmarshal(text, s))
}

func (s *Scenario) lead() time.Duration { return s.WarmUp.Duration }
