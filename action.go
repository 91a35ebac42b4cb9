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
	// NotAfter is the latest time to send the message; 0 means no limit. The
	// driver checks it right before the send and reports a late message with
	// SignalNotSent.
	NotAfter Time
}

// TargetControlKind is the operation that a TargetControl requests.
type TargetControlKind uint8

// The operations on the connection to a target.
const (
	TargetDial TargetControlKind = iota
	TargetPing
	TargetClose
)

// TargetControl asks the driver to open, ping or close the connection to a
// target.
type TargetControl struct {
	Target Target
	Kind   TargetControlKind
}

// PeerSend asks the driver to send a message to another host.
type PeerSend struct {
	Host    HostID
	Message PeerMessage
}

// RelaySend asks the driver to forward a request to another host.
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

// Decision is a decision for the log. Fields that do not apply are empty.
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

// Actions collects the actions that a host decided on. The slices are reused: a
// driver must process them before the next call.
type Actions struct {
	Answers   []Answer
	Sends     []TargetSend
	Controls  []TargetControl
	Peers     []PeerSend
	Relays    []RelaySend
	Decisions []Decision
	// Adopted is the bundle that took effect, or nil.
	Adopted *SignedBundle
	// Stopped is set when a planned stop is complete and the process may exit.
	Stopped bool
}

// Reset removes all actions and keeps the allocated memory for reuse.
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

// Control adds an operation on the connection to a target.
func (a *Actions) Control(t Target, k TargetControlKind) {
	a.Controls = append(a.Controls, TargetControl{Target: t, Kind: k})
}

// Peer adds a message to another host.
func (a *Actions) Peer(h HostID, m PeerMessage) {
	a.Peers = append(a.Peers, PeerSend{Host: h, Message: m})
}

// Relay adds a request to forward to another host.
func (a *Actions) Relay(h HostID, r Request) {
	a.Relays = append(a.Relays, RelaySend{Host: h, Request: r})
}

// LogDecision adds a decision to the log.
func (a *Actions) LogDecision(d Decision) { a.Decisions = append(a.Decisions, d) }
