# Shell functions that start a deployment for scripts/experiment; scripts/relaycost
# uses some too. Source it after scripts/fleet.sh, whose FLEET, BIN and PIDS it uses.

export HYSSOPSAIL_ENDPOINT_KEY=experiment-endpoint-key
declare -A STANDIN_PID=() STANDIN_ARGS=() DAEMON_PID=()
STANDINS=()
DAEMONS=(e1 e2 e3 e4 e5 e6 e7 e8 e9)
ENGINE_FLAGS=()
DIRECT_ENGINES=()

# set_layout DEPLOYMENT sets ZONES, MODEL, SERVICE and the numbers of endpoints, for
# added-delay also DAEMONS and ENGINE_FLAGS.
set_layout() {
	case $1 in
	sutokatha)
		ZONES=(howrah kolkata-north barasat durgapur)
		MODEL=fibre SERVICE=bank-app PREFILL=6 DECODE=6 PLAIN=4
		;;
	archive)
		ZONES=(anping-hall rende-hall yongkang-hall)
		MODEL=lyric SERVICE=catalogue PREFILL=5 DECODE=7 PLAIN=3
		;;
	added-delay)
		ZONES=(howrah) DAEMONS=(e1 e2 e3)
		MODEL=fibre SERVICE="" PREFILL=4 DECODE=4 PLAIN=0
		ENGINE_FLAGS=(--slots 100 --prefill-base 10ms --prefill-token 1us --step-base 10ms --step-per-request 1us --kv-token 1024)
		;;
	*)
		printf 'unknown deployment %s\n' "$1" >&2
		return 2
		;;
	esac
}

zone_of() { printf '%s' "${ZONES[$(($1 % ${#ZONES[@]}))]}"; }

# port N KIND prints a port of daemon N. KIND: 0 rpc, 1 callers, 2 endpoints,
# 3 operators.
port() { printf '%s' "${PORT[$(($1 * 4 + $2))]}"; }

tool() {
	"$BIN/hyssopsail" --authority "$FLEET/keys/authority.pem" --key-file "$FLEET/operator-key" \
		--address "127.0.0.1:$(port 0 3)" --address "127.0.0.1:$(port 1 3)" --address "127.0.0.1:$(port 2 3)" "$@"
}

answers() { (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }

start_deployment() {
	set_layout "$1"
	"$BIN/hyssopsail" certs --folder "$FLEET/keys" "${DAEMONS[@]}" >/dev/null
	printf 'experiment-operator-key' >"$FLEET/operator-key"
	read -r -a PORT <<<"$(free_ports $((4 * ${#DAEMONS[@]})))"
	CONTROL="[\"127.0.0.1:$(port 0 0)\", \"127.0.0.1:$(port 1 0)\", \"127.0.0.1:$(port 2 0)\"]"
	local n
	for n in "${!DAEMONS[@]}"; do
		local roles=entry
		[ "$n" -ge 3 ] || roles="entry, control"
		write_daemon "${DAEMONS[$n]}" "$(zone_of "$n")" "$roles" "$(port "$n" 0)" "$(port "$n" 1)" "$(port "$n" 2)" "$(port "$n" 3)"
		run_daemon "$n"
	done
	for n in 0 1 2; do wait_for 15 answers "$(port "$n" 3)"; done
	tool --secret-file "$FLEET/keys/fleet-secret.hex" init --fleet-id "$1" --member "e1=127.0.0.1:$(port 0 0)" \
		--member "e2=127.0.0.1:$(port 1 0)" --member "e3=127.0.0.1:$(port 2 0)"
	cp -r "examples/experiments/$1/settings" "$FLEET/settings"
	wait_for 15 tool --secret-file "$FLEET/keys/fleet-secret.hex" settings apply "$FLEET/settings/fleet.yaml"
	wait_for 15 tool settings apply "$FLEET/settings"
	for n in "${!DAEMONS[@]}"; do wait_for 15 answers "$(port "$n" 1)"; done
	start_endpoints
}

run_daemon() {
	start_daemon "${DAEMONS[$1]}"
	DAEMON_PID[$1]=${PIDS[-1]}
}

start_endpoints() {
	local n
	for ((n = 0; n < PREFILL; n++)); do start_endpoint "prefill-$n" "$n" --role prefill --model "$MODEL@1"; done
	for ((n = 0; n < DECODE; n++)); do start_endpoint "decode-$n" "$n" --role decode --model "$MODEL@1"; done
	for ((n = 0; n < PLAIN; n++)); do start_endpoint "plain-$n" "$n" --role plain --service "$SERVICE"; done
	[ "$deployment" != added-delay ] || start_direct_engines
	wait_for 20 all_listed
}

all_listed() { [ "$(tool endpoints | grep -c -e prefill- -e decode- -e plain-)" -ge "${#STANDINS[@]}" ]; }

# start_direct_engines starts engines that register with no daemon, for direct calls.
start_direct_engines() {
	local n role
	for role in prefill decode; do
		for ((n = 0; n < 4; n++)); do
			mkdir -p "$FLEET/direct-$role-$n"
			DIRECT_ENGINES+=("direct-$role-$n")
			"$BIN/hyssopsail-standin" --id "direct-$role-$n" --zone howrah --role "$role" --model "$MODEL@1" --link-rate 5000000000 \
				"${ENGINE_FLAGS[@]}" --address-file "$FLEET/direct-$role-$n/address" 2>>"$FLEET/direct-$role-$n/log" &
			PIDS+=($!)
			wait_for 10 test -s "$FLEET/direct-$role-$n/address"
		done
	done
}

# start_endpoint ID NUMBER ARGS... starts an emulated endpoint. NUMBER selects its zone.
# run_endpoint restarts it with the same zone and arguments.
start_endpoint() {
	local id=$1
	STANDIN_ARGS[$id]="--zone $(zone_of "$2") ${*:3}"
	STANDINS+=("$id")
	mkdir -p "$FLEET/$id" "$FLEET/audits"
	run_endpoint "$id"
}

run_endpoint() {
	local id=$1 entries=() n
	for n in "${!DAEMONS[@]}"; do entries+=(--entry "127.0.0.1:$(port "$n" 2)"); done
	rm -f "$FLEET/$id/address"
	# shellcheck disable=SC2086 # no argument contains a space
	"$BIN/hyssopsail-standin" --id "$id" --leave-grace 500ms --link-rate 5000000000 --address-file "$FLEET/$id/address" --audit-folder "$FLEET/audits" \
		"${ENGINE_FLAGS[@]}" "${entries[@]}" ${STANDIN_ARGS[$id]} 2>>"$FLEET/$id/log" &
	PIDS+=($!)
	STANDIN_PID[$id]=$!
	wait_for 10 test -s "$FLEET/$id/address"
}

address_of() { awk '{print $2; exit}' "$FLEET/$1/address"; }

audit_list() {
	local id
	for id in "${STANDINS[@]}"; do printf '%s,' "$(address_of "$id")"; done
}

plain_list() {
	local id
	for id in "${STANDINS[@]}"; do [[ $id != plain-* ]] || printf '%s,' "$(address_of "$id")"; done
}

direct_engine_list() {
	local id
	for id in "${DIRECT_ENGINES[@]}"; do printf '%s,' "$(address_of "$id")"; done
}

# cpu_seconds PID prints the processor time that a process has used, in seconds.
cpu_seconds() {
	awk -v ticks="$(getconf CLK_TCK)" '{sub(/.*\) /, ""); print ($12 + $13) / ticks}' "/proc/$1/stat"
}

callers_list() {
	local n
	if [ "$deployment" = added-delay ]; then
		printf '127.0.0.1:%s' "$(port 0 1)"
		return
	fi
	for n in "${!DAEMONS[@]}"; do printf '127.0.0.1:%s,' "$(port "$n" 1)"; done
}

# apply_variant NAME applies the settings of a variant and waits up to 10 s until they
# are in force on every live instance.
apply_variant() {
	local base="examples/experiments/$deployment/settings/fleet.yaml"
	cat "$base" "examples/experiments/variants/$1.yaml" >"$FLEET/settings/fleet.yaml"
	tool settings apply --overwrite --wait 10s "$FLEET/settings/fleet.yaml" >/dev/null
}

# remove_pid PID removes a deliberately killed process from PIDS and reaps it.
remove_pid() {
	local pid remaining=()
	for pid in "${PIDS[@]}"; do [ "$pid" = "$1" ] || remaining+=("$pid"); done
	PIDS=("${remaining[@]}")
	wait "$1" 2>/dev/null || true
}

# set_faults JSON ID... sets the faults of emulated endpoints.
set_faults() {
	local json=$1 id
	shift
	for id in "$@"; do curl -fsS -X POST -d "$json" "http://$(address_of "$id")/faults" >/dev/null; done
}

in_zone() {
	local id
	for id in "${STANDINS[@]}"; do [[ ${STANDIN_ARGS[$id]} != *"--zone $1 "* ]] || printf '%s ' "$id"; done
}

# measured_midpoint FILE prints the seconds from the start of an experiment to the middle
# of its measured period, which begins after the warmup.
measured_midpoint() { awk '/^duration:/ {d=$2} /^warmup:/ {w=$2} END {print (d + w) / 2}' "$1"; }

# run_fault FILE FAULT schedules a fault in the background for the run that follows.
run_fault() {
	FAULT_PID=""
	case $2 in
	"") return ;;
	reports-late)
		set_faults '{"load_lag_ms":2000}' "${STANDINS[@]}"
		return
		;;
	esac
	(
		trap - EXIT
		sleep "$(measured_midpoint "$1")"
		inject_fault "$2"
	) &
	FAULT_PID=$!
}

inject_fault() {
	case $1 in
	# The process exits as if killed, but writes its audit.
	engine-killed) curl -sS -X POST -d '{"crash":true}' "http://$(address_of decode-0)/faults" >/dev/null 2>&1 || true ;;
	entry-killed) kill -KILL "${DAEMON_PID[8]}" ;;
	zone-slow) set_faults '{"slow":2}' $(in_zone "${ZONES[1]}") ;;
	link-stalled)
		set_faults '{"stall_transfers":true}' prefill-0
		sleep 5
		set_faults '{"stall_transfers":false}' prefill-0
		;;
	esac
}

# end_fault FAULT waits for the fault's background job and restores the deployment for
# the next run.
end_fault() {
	[ -z "$FAULT_PID" ] || wait "$FAULT_PID" || true
	case $1 in
	engine-killed)
		remove_pid "${STANDIN_PID[decode-0]}"
		run_endpoint decode-0
		;;
	entry-killed)
		remove_pid "${DAEMON_PID[8]}"
		run_daemon 8
		wait_for 15 answers "$(port 8 1)"
		;;
	zone-slow) set_faults '{"slow":1}' $(in_zone "${ZONES[1]}") ;;
	reports-late) set_faults '{"load_lag_ms":0}' "${STANDINS[@]}" ;;
	esac
}
