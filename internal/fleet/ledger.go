package fleet

// LedgerShards is the number of ledger shards per zone class.
const LedgerShards = 16

// LedgerReplicas is the number of replicas in a complete ledger group.
const LedgerReplicas = 3

// LedgerShard identifies a shard of outcome records.
type LedgerShard struct {
	ZoneClass string
	Shard     uint32
}

// LedgerReplica is one replica of a shard.
type LedgerReplica struct {
	Owner Owner
	Ready bool // has every record that its epoch started with
}

// LedgerGroup is the replica set of a shard at an epoch; see pb.LedgerGroup.
type LedgerGroup struct {
	Shard             LedgerShard
	Epoch             uint64
	Replicas          []LedgerReplica
	Sources           []LedgerReplica
	HistoryLostUnixMs int64 // Unix time in ms; 0 if no history was lost
}
