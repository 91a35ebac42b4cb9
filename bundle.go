package cactuspin

import (
	"net/netip"
	"time"
)

// SignedBundle is a bundle as it is stored and sent: the text that the operator
// wrote, the name of the signer and the signature of the text.
type SignedBundle struct {
	Version   BundleVersion `json:"version" cbor:"1,keyasint"`
	Text      []byte        `json:"text" cbor:"2,keyasint"`
	Signer    string        `json:"signer" cbor:"3,keyasint"`
	Signature []byte        `json:"signature" cbor:"4,keyasint"`
	// Confirmed is set by a host that read the bundle from the platform.
	Confirmed bool `json:"-" cbor:"5,keyasint,omitempty"`
}

// Bundle is the operators' configuration.
type Bundle struct {
	Format       int           `yaml:"format"`
	Version      BundleVersion `yaml:"version"`
	Organisation string        `yaml:"organisation"`
	Services     []Service     `yaml:"services"`
	Refusal      Refusal       `yaml:"refusal"`
}

// Refusal configures the answers to refused requests.
type Refusal struct {
	// RetryAfter is the retry delay that the answer to a refused request states.
	RetryAfter time.Duration `yaml:"retry_after"`
}

// Service is a service that callers reach at one address.
type Service struct {
	Name    string         `yaml:"name"`
	Address netip.AddrPort `yaml:"address"`
	Kinds   []Kind         `yaml:"kinds"`
	Targets []TargetRule   `yaml:"targets"`
	Drain   Drain          `yaml:"drain"`
	// Ramp is the time over which a newly connected target is ramped up to all
	// its slots.
	Ramp time.Duration `yaml:"ramp"`
	ID   ServiceID     `yaml:"-"`
}

// Drain configures how a leaving target is drained.
type Drain struct {
	// Limit is the maximum time for moving the observations off a leaving target.
	Limit time.Duration `yaml:"limit"`
}

// Kind is a class of requests to a service.
type Kind struct {
	Name string `yaml:"name"`
	// Methods and Path select the requests of this kind; Path is a prefix.
	Methods []string `yaml:"methods"`
	Path    string   `yaml:"path"`
	// Importance orders the kinds; 1 is the most urgent.
	Importance int `yaml:"importance"`
	// Share is the fraction of all slots that is guaranteed to this kind, 0 to 1.
	Share float64 `yaml:"share"`
	// Deadline applies to requests that state none.
	Deadline time.Duration `yaml:"deadline"`
	// Queue is the maximum number of requests of this kind in the queue of one host.
	Queue int `yaml:"queue"`
}

// TargetRule configures one target of a service.
type TargetRule struct {
	Address Target `yaml:"address"`
	Zone    ZoneID `yaml:"zone"`
	// Slots is the number of requests that the target processes concurrently.
	Slots int `yaml:"slots"`
	// Connections is the number of observations that the target holds concurrently.
	Connections int `yaml:"connections"`
	// State is live or leaving.
	State HostState `yaml:"state"`
}

// KindFor returns the index of the kind that a request belongs to, or -1. The
// longest matching path takes precedence, then the order in the bundle.
func (s *Service) KindFor(m Method, path string) (index int) {
	index = -1
	longest := -1
	for i := range s.Kinds {
		k := &s.Kinds[i]
		if len(k.Path) <= longest || !k.matches(m, path) {
			continue
		}
		index = i
		longest = len(k.Path)
	}
	return index
}

func (k *Kind) matches(m Method, path string) bool {
	if len(path) < len(k.Path) || path[:len(k.Path)] != k.Path {
		return false
	}
	if len(k.Methods) == 0 {
		return true
	}
	for _, n := range k.Methods {
		if n == m.String() {
			return true
		}
	}
	return false
}
