package cactuspin

import "net/netip"

// TargetSend asks the driver to send one message to a target.
type TargetSend struct {
	Target   Target
	Exchange ExchangeID
	Method   Method
	Path     string
	Observe  ObserveMode
	Options  []Option
	Payload  []byte
	// NotAfter is checked right before the send; 0 means no limit. A message
	// that is late is not sent and comes back as SignalNotSent.
	NotAfter Time
}

// TargetControlKind says what a TargetControl asks for.
type TargetControlKind uint8

// The kinds of TargetControl.
const (
	TargetDial TargetControlKind = iota
	TargetPing
	TargetClose
)

// TargetControl asks the driver to act on the connection to a target.
type TargetControl struct {
	Target Target
	Kind   TargetControlKind
}

// PeerSend asks the driver to send a message to another host.
type PeerSend struct {
	Host    HostID
	Message PeerMessage
}

// RelaySend asks the driver to pass a request on to another host.
type RelaySend struct {
	Host    HostID
	Request Request
}

// DecisionKind names a routing or placement decision for the log.
type DecisionKind string

// The decisions that are logged.
const (
	DecisionOpen     DecisionKind = "open"
	DecisionRelay    DecisionKind = "relay"
	DecisionPlace    DecisionKind = "place"
	DecisionQueue    DecisionKind = "queue"
	DecisionPass     DecisionKind = "pass"
	DecisionRefuse   DecisionKind = "refuse"
	DecisionDrop     DecisionKind = "drop"
	DecisionRepeat   DecisionKind = "repeat"
	DecisionRetry    DecisionKind = "retry"
	DecisionFeed     DecisionKind = "feed"
	DecisionMove     DecisionKind = "move"
	DecisionHost     DecisionKind = "host"
	DecisionOwner    DecisionKind = "owner"
	DecisionBundle   DecisionKind = "bundle"
	DecisionHandover DecisionKind = "handover"
)

// Decision is one log line. Fields that do not apply are left empty.
type Decision struct {
	Kind    DecisionKind
	Reason  string
	Service ServiceID
	Caller  netip.AddrPort
	Token   Token
	Host    HostID
	Target  Target
	Version BundleVersion
}

// Actions collects what a host decided. The slices are reused: a driver takes
// what it needs before the next call.
type Actions struct {
	Answers   []Answer
	Sends     []TargetSend
	Controls  []TargetControl
	Peers     []PeerSend
	Relays    []RelaySend
	Decisions []Decision
	// Adopted is the bundle that came into force, if one did.
	Adopted *SignedBundle
	// Stopped is set when a planned stop is complete and the process may exit.
	Stopped bool
}

// Reset empties the collection and keeps its memory.
func (a *Actions) Reset() {
	clear(a.Answers)
	clear(a.Sends)
	clear(a.Peers)
	clear(a.Relays)
	a.Answers = a.Answers[:0]
	a.Sends = a.Sends[:0]
	a.Controls = a.Controls[:0]
	a.Relays = a.Relays[:0]
	a.Peers = a.Peers[:0]
	a.Decisions = a.Decisions[:0]
	a.Adopted = nil
	a.Stopped = false
}

// Answer adds a datagram to a caller.
func (a *Actions) Answer(x Answer) { a.Answers = append(a.Answers, x) }

// Send adds a message to a target.
func (a *Actions) Send(x TargetSend) { a.Sends = append(a.Sends, x) }

// Control adds an act on the connection to a target.
func (a *Actions) Control(t Target, k TargetControlKind) {
	a.Controls = append(a.Controls, TargetControl{Target: t, Kind: k})
}

// Peer adds a message to another host.
func (a *Actions) Peer(h HostID, m PeerMessage) {
	a.Peers = append(a.Peers, PeerSend{Host: h, Message: m})
}

// Relay adds a request that another host is to take.
func (a *Actions) Relay(h HostID, r Request) {
	a.Relays = append(a.Relays, RelaySend{Host: h, Request: r})
}

// LogDecision adds a log line.
func (a *Actions) LogDecision(d Decision) { a.Decisions = append(a.Decisions, d) }
