package control

// Limits of the replicated state. Each kind of record that outside input can add
// has one, so that no sequence of commands grows the state without bound.
const (
	maxNameBytes            = 160       // subtree names, IDs, authors, addresses
	maxYAMLBytes            = 256 << 10 // one subtree
	maxTreeBytes            = 5 << 20   // all current subtrees: a FleetState stays under rpc.MaxMessageBytes
	maxClasses              = 256       // sets of permitted zones in use or recently retired
	maxFormerClassesPerTeam = 16        // former zone classes of one team
	maxFormerClasses        = 8192      // of all teams
	maxSubtrees             = 8192      // names ever used, including removed ones
	maxDetailBytes          = 512       // of a result
	maxHistoryVersions      = 64        // kept older versions of one subtree
	maxHistoryBytes         = 16 << 20  // kept older versions of all subtrees
	maxChangeResults        = 16384     // change IDs with their first results
	changeResultLifeEntries = 1 << 20   // log entries for which a change ID is kept
	maxInstances            = 4096      // live
	maxSeenIncarnations     = 16384     // instances with a known incarnation, live or not
	maxOrders               = 4096      // the newest are kept
	maxSuspects             = 4096      // the most recently reported are kept
	maxCrashes              = 1024      // reports kept to recognise repeats
	maxFingerprints         = 1024      // of one crash report
	maxLoadSlots            = 64        // concurrent loads of the weight store
	maxRecentDeltas         = 2048      // deltas kept for pulls
	maxRecentDeltaBytes     = 16 << 20
	maxPullBytes            = 1 << 20   // deltas of one pull
	maxSnapshotBytes        = 256 << 20 // after decompression
	fingerprintBytes        = 16
)
