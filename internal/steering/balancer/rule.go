package balancer

// rule is the rule that decided where a new flow goes.
type rule uint8

const (
	// ruleNoTarget refuses the flow: no target may be used.
	ruleNoTarget rule = iota
	// ruleOwnZone keeps the flow in the zone of the host.
	ruleOwnZone
	// ruleOwnZoneCrowded sends a part of the flows to the least utilized zone, because the
	// zone of the host is crowded.
	ruleOwnZoneCrowded
	// ruleZoneEvacuated spreads the flows of an evacuated zone over the others.
	ruleZoneEvacuated
	// ruleOtherZone uses the least utilized zone with a healthy target, because the zone
	// that was chosen first has none.
	ruleOtherZone
	// ruleOnlyFailing uses a failing target, because no other is left.
	ruleOnlyFailing
	// ruleOnlySuspect uses a suspect target, because no other is left.
	ruleOnlySuspect
	// ruleColdTarget uses a cold target that this host owns, for the share of the flows that
	// the cold targets of the zone would get.
	ruleColdTarget
	// ruleZoneCold spreads that share over the zones, because no cold target may be used now.
	ruleZoneCold
	// ruleTargetsCold refuses the flow: no target may be used, and some are cold.
	ruleTargetsCold

	// rules is the number of rules.
	rules
)

// String returns the form used in explanations.
func (r rule) String() string {
	return [rules]string{
		"no target", "own zone", "own zone crowded", "zone evacuated", "no healthy target in the zone",
		"only failing targets left", "only suspect targets left",
		"cold target", "zone short of warm targets", "no target but cold ones",
	}[r]
}
