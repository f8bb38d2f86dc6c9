# Shell functions that start a fleet on loopback, for other scripts. Set FLEET (a
# scratch folder) before sourcing it. It stops only processes that are in PIDS.

ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
BIN=$ROOT/bin
PIDS=()

say() { printf '\n== %s\n' "$*"; }

# free_ports N prints N loopback ports on which nothing listens now. If another process
# takes one before the daemon does, the daemon reports it and exits.
free_ports() {
	local -A chosen=()
	local port
	while [ "${#chosen[@]}" -lt "$1" ]; do
		port=$((20000 + RANDOM % 12000))
		if ! (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then
			chosen[$port]=1
		fi
	done
	printf '%s ' "${!chosen[@]}"
}

# wait_for SECONDS COMMAND... polls until the command succeeds, or fails at the timeout.
wait_for() {
	local timeout=$1
	shift
	local deadline=$((SECONDS + timeout))
	until "$@" >/dev/null 2>&1; do
		if [ "$SECONDS" -ge "$deadline" ]; then
			printf 'timed out after %s s: %s\n' "$timeout" "$*" >&2
			return 1
		fi
		sleep 0.05
	done
}

# write_daemon ID ZONE ROLES RPC CALLERS ENDPOINTS OPERATORS writes the configuration of
# a daemon; the last four are ports. CONTROL holds the control addresses as a YAML flow
# list.
write_daemon() {
	local id=$1 zone=$2 roles=$3
	local data=""
	case $roles in *control*) data="data_folder: $FLEET/$id/data" ;; esac
	mkdir -p "$FLEET/$id"
	cat >"$FLEET/$id/daemon.yaml" <<YAML
instance_id: $id
availability_zone: $zone
roles: [$roles]
$data
control_addresses: $CONTROL
listeners:
  rpc: {listen: "127.0.0.1:$4"}
  callers: {listen: "127.0.0.1:$5"}
  endpoints: {listen: "127.0.0.1:$6"}
  operators: {listen: "127.0.0.1:$7"}
tls:
  authority: $FLEET/keys/authority.pem
  certificate: $FLEET/keys/$id.pem
  key: $FLEET/keys/$id-key.pem
fleet_secret_file: $FLEET/keys/fleet-secret.hex
YAML
}

start_daemon() {
	"$BIN/hyssopsaild" --config "$FLEET/$1/daemon.yaml" 2>"$FLEET/$1/log" &
	PIDS+=($!)
}

# stop_all sends SIGTERM to all processes in PIDS, and SIGKILL to those that still run
# after 30 s. It fails if a process had to be killed or exited with an error.
stop_all() {
	local pid
	for pid in "${PIDS[@]}"; do
		kill -TERM "$pid" 2>/dev/null || true
	done
	local deadline=$((SECONDS + 30)) failed=0
	for pid in "${PIDS[@]}"; do
		while kill -0 "$pid" 2>/dev/null && [ "$SECONDS" -lt "$deadline" ]; do
			sleep 0.05
		done
		kill -KILL "$pid" 2>/dev/null && failed=1
		wait "$pid" || failed=1
	done
	PIDS=()
	return $failed
}
