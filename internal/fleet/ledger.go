package fleet

// LedgerShards is the number of shards for each zone class.
const LedgerShards = 16

// LedgerReplicas is the replica count of a whole ledger group.
const LedgerReplicas = 3

// LedgerShard names one shard of outcome records.
type LedgerShard struct {
	ZoneClass string
	Shard     uint32
}

// LedgerReplica is one holder of a shard.
type LedgerReplica struct {
	Owner Owner
	Ready bool // holds every record that its epoch started with
}

// LedgerGroup is a shard's replica set at an epoch; see pb.LedgerGroup.
type LedgerGroup struct {
	Shard         LedgerShard
	Epoch         uint64
	Replicas      []LedgerReplica
	Sources       []LedgerReplica
	HistoryLostMs int64 // unix ms; 0: never
}
