package bundleparser

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/cactuspin/cactuspin"
)

// Limits of the values in a bundle.
const (
	maxDeadline    = 60 * time.Second
	maxSlots       = 1 << 16
	maxConnections = 1 << 20
	maxQueue       = 1 << 16
)

// checker collects the faults of a bundle.
type checker struct {
	root      *yaml.Node
	faults    []Fault
	addresses map[string]string
}

func (c *checker) bundle(b *cactuspin.Bundle) {
	c.addresses = make(map[string]string)
	c.require(b.Format == Format, "format", "must be %d", Format)
	c.require(b.Version > 0, "version", "must be 1 or more")
	c.require(b.Organisation != "", "organisation", "must not be empty")
	c.require(b.Refusal.RetryAfter >= 0, "refusal.retry_after", "must not be negative")
	c.require(len(b.Services) > 0, "services", "must not be empty")
	ids := make(map[cactuspin.ServiceID]string)
	for i := range b.Services {
		s := &b.Services[i]
		field := "services." + strconv.Itoa(i)
		other, used := ids[s.ID]
		c.require(!used, field+".name", "stands for the same service as %q", other)
		ids[s.ID] = s.Name
		c.service(field, s)
	}
}

func (c *checker) service(field string, s *cactuspin.Service) {
	c.require(s.Name != "", field+".name", "must not be empty")
	c.address(field+".address", s.Address.String(), s.Address.IsValid(), s.Name)
	c.require(s.Drain.Limit >= 0, field+".drain.limit", "must not be negative")
	c.require(s.Ramp >= 0, field+".ramp", "must not be negative")
	c.require(len(s.Kinds) > 0, field+".kinds", "must not be empty")
	sum := 0.0
	names := make(map[string]bool)
	for i := range s.Kinds {
		k := &s.Kinds[i]
		kindField := field + ".kinds." + strconv.Itoa(i)
		c.require(!names[k.Name], kindField+".name", "stands twice")
		names[k.Name] = true
		c.kind(kindField, k)
		sum += k.Share
	}
	c.require(sum <= 1, field+".kinds", "shares add up to %.2f, at most 1 can be promised", sum)
	for i := range s.Targets {
		c.target(field+".targets."+strconv.Itoa(i), s, &s.Targets[i])
	}
}

func (c *checker) kind(field string, k *cactuspin.Kind) {
	c.require(k.Name != "", field+".name", "must not be empty")
	c.require(strings.HasPrefix(k.Path, "/"), field+".path", "must begin with /")
	c.require(k.Importance >= 1, field+".importance", "must be 1 or more")
	c.require(k.Share >= 0 && k.Share <= 1, field+".share", "must be between 0 and 1")
	c.require(k.Deadline > 0 && k.Deadline <= maxDeadline, field+".deadline", "must be above 0 and at most %s", maxDeadline)
	c.require(k.Queue >= 0 && k.Queue <= maxQueue, field+".queue", "must be between 0 and %d", maxQueue)
	for i, m := range k.Methods {
		c.require(knownMethod(m), field+".methods."+strconv.Itoa(i), "must be GET, POST, PUT or DELETE")
	}
}

func (c *checker) target(field string, s *cactuspin.Service, t *cactuspin.TargetRule) {
	c.address(field+".address", t.Address.String(), t.Address.IsValid(), s.Name+" target")
	c.require(t.Zone != "", field+".zone", "must not be empty")
	c.require(t.Slots >= 1 && t.Slots <= maxSlots, field+".slots", "must be between 1 and %d", maxSlots)
	c.require(t.Connections >= 0 && t.Connections <= maxConnections, field+".connections", "must be between 0 and %d", maxConnections)
	known := t.State == "" || t.State == cactuspin.StateLive || t.State == cactuspin.StateLeaving
	c.require(known, field+".state", "must be live or leaving")
}

// address checks an address. It also rejects an address that is used twice,
// since a target of two services could get requests for the wrong one.
func (c *checker) address(field, text string, valid bool, owner string) {
	if !valid {
		c.require(false, field, "must be an IP number with a port")
		return
	}
	other, used := c.addresses[text]
	c.require(!used, field, "%s is used by %s too", text, other)
	if !used {
		c.addresses[text] = owner
	}
}

func knownMethod(m string) bool {
	for _, x := range []cactuspin.Method{
		cactuspin.MethodGet, cactuspin.MethodPost, cactuspin.MethodPut, cactuspin.MethodDelete,
	} {
		if x.String() == m {
			return true
		}
	}
	return false
}

func (c *checker) require(ok bool, field, format string, args ...any) {
	if ok {
		return
	}
	c.faults = append(c.faults, Fault{Line: c.line(field), Field: field, Reason: fmt.Sprintf(format, args...)})
}

// line returns the line of a field, or of its nearest ancestor in the text.
func (c *checker) line(field string) int {
	n := c.root
	if n.Kind == yaml.DocumentNode && len(n.Content) > 0 {
		n = n.Content[0]
	}
	line := n.Line
	for _, name := range strings.Split(field, ".") {
		next, nextLine := child(n, name)
		if next == nil {
			return line
		}
		n = next
		line = nextLine
	}
	return line
}

// child returns the element of a mapping or sequence with a name or index, and
// its line.
func child(n *yaml.Node, name string) (value *yaml.Node, line int) {
	switch n.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(n.Content); i += 2 {
			if n.Content[i].Value == name {
				return n.Content[i+1], n.Content[i].Line
			}
		}
	case yaml.SequenceNode:
		i, err := strconv.Atoi(name)
		if err == nil && i < len(n.Content) {
			return n.Content[i], n.Content[i].Line
		}
	default:
	}
	return nil, 0
}
