package cactuspin

import (
	"net/netip"
	"time"
)

// SignedBundle is a bundle as it travels: the text that the operator wrote, who
// signed it, and the signature over the text.
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

// Refusal holds the rules for refusing work.
type Refusal struct {
	// RetryAfter is told to a caller that was refused.
	RetryAfter time.Duration `yaml:"retry_after"`
}

// Service is what callers reach at one address.
type Service struct {
	Name    string         `yaml:"name"`
	Address netip.AddrPort `yaml:"address"`
	Kinds   []Kind         `yaml:"kinds"`
	Targets []TargetRule   `yaml:"targets"`
	Drain   Drain          `yaml:"drain"`
	// Ramp is the time in which a target that just connected gets all its slots.
	Ramp time.Duration `yaml:"ramp"`
	ID   ServiceID     `yaml:"-"`
}

// Drain holds the rules for a target that leaves.
type Drain struct {
	// Limit is how long the observations at a leaving target may take to move.
	Limit time.Duration `yaml:"limit"`
}

// Kind is a kind of work of a service.
type Kind struct {
	Name string `yaml:"name"`
	// Methods and Path select the requests of this kind; Path is a prefix.
	Methods []string `yaml:"methods"`
	Path    string   `yaml:"path"`
	// Importance orders the kinds; 1 is the most urgent.
	Importance int `yaml:"importance"`
	// Share is the part of all slots that this kind can always have, 0 to 1.
	Share float64 `yaml:"share"`
	// Deadline is used for a request that states none.
	Deadline time.Duration `yaml:"deadline"`
	// Queue is the most requests of this kind that wait on one host.
	Queue int `yaml:"queue"`
}

// TargetRule is one target of a service.
type TargetRule struct {
	Address Target `yaml:"address"`
	Zone    ZoneID `yaml:"zone"`
	// Slots is how many requests the target runs at once.
	Slots int `yaml:"slots"`
	// Connections is how many observations the target holds at once.
	Connections int `yaml:"connections"`
	// State is live or leaving.
	State HostState `yaml:"state"`
}

// KindFor returns the index of the kind that a request belongs to, or -1. The
// longest matching path wins, then the first in the bundle.
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
