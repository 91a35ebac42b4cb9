package cactuspin

// EntryStatus is what a host of the packet path reports to operators at
// EntryStatusPath. Durations are in seconds.
type EntryStatus struct {
	Host     string `json:"host"`
	Zone     string `json:"zone"`
	Build    string `json:"build"`
	Version  uint64 `json:"routing_version"`
	Revision uint64 `json:"revision"`
	// StoreEra is the era of the revision: the number of restores of the store, or 0 if
	// it names none.
	StoreEra     uint64   `json:"store_era"`
	KnowledgeAge float64  `json:"knowledge_age_s"`
	Targets      int      `json:"targets"`
	TargetsDown  []string `json:"targets_down,omitempty"`
	// EvacuatedZones are the zones whose targets get no new flows.
	EvacuatedZones []string `json:"evacuated_zones,omitempty"`
	// ColdTargets is the number of targets of the host's zone that have not warmed up and
	// have a limit, FlowsHeldAway the number of new flows that were sent to other zones or
	// refused because of them.
	ColdTargets   int    `json:"cold_targets,omitempty"`
	FlowsHeldAway uint64 `json:"flows_held_away,omitempty"`
	Flows         int    `json:"flows"`
	Peers         int    `json:"peers"`
	// ZoneHosts is the number of hosts of the zone among which the host has the place
	// ZoneRank, or 0 if it spreads flows by its own counts alone. LoadImbalance is the
	// highest load of a target by the flows of all of them, as a multiple of the mean.
	ZoneHosts     int     `json:"zone_hosts"`
	ZoneRank      int     `json:"zone_rank"`
	LoadImbalance float64 `json:"load_imbalance"`
	// ReadsStore reports that the host reads the store now, Reader which host's read
	// the age of its knowledge is based on.
	ReadsStore      bool              `json:"reads_store"`
	Reader          string            `json:"reader,omitempty"`
	Leaving         bool              `json:"leaving"`
	Ready           bool              `json:"ready"`
	PacketsByReason map[string]uint64 `json:"packets_by_reason"`
	LinesSuppressed uint64            `json:"log_lines_left_out"`
	LinesDropped    uint64            `json:"log_lines_dropped"`
}
