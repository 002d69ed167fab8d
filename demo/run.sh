#!/usr/bin/env bash
# Starts a small site on loopback, sends requests through it and shuts it down again.
# With the argument "keep" it sends none and keeps the site running until it is interrupted.
set -euo pipefail
cd "$(dirname "$0")/.."
RUN=$(mktemp -d)
PIDS=()
# stop terminates all processes that start has started, and removes their files.
stop() {
	for pid in "${PIDS[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
	for pid in "${PIDS[@]}"; do wait "$pid" 2>/dev/null || true; done
	rm -rf "$RUN"
}
trap stop EXIT
# start NAME COMMAND... runs a command in the background; its output goes to $RUN/NAME.log.
start() {
	local name=$1
	shift
	"$@" >"$RUN/$name.log" 2>&1 &
	PIDS+=($!)
}

go build -o "$RUN/" ./cmd/cornelmux ./cmd/standin ./demo ./examples/tsagaan_lavra
PLATFORM=127.0.0.1:18500
SI="$RUN/standin"
start platform "$SI" platform --listen $PLATFORM
start rating "$SI" rating --listen 127.0.0.1:18600 --bad '[cheap/'
start engine1 "$SI" engine --listen 127.0.0.1:18701 --id engine-1 --platform http://$PLATFORM --region ulaanbaatar --zone ub-1 --versions composer/v1,cheap/v1
start engine2 "$SI" engine --listen 127.0.0.1:18702 --id engine-2 --platform http://$PLATFORM --region ulaanbaatar --zone ub-2 --versions composer/v1,composer/v2
start service "$SI" service --listen 127.0.0.1:18703 --id service-1 --platform http://$PLATFORM --region ulaanbaatar --zone ub-1 --name reminders

echo operator-demo-key >"$RUN/operator.key"
echo fleet-demo-key >"$RUN/fleet.key"
for n in 1 2; do
	cat >"$RUN/vm$n.ini" <<-INI
		[vm]
		name = vm-$n
		region = ulaanbaatar
		zone = ub-$n
		[listen]
		callers = 127.0.0.1:1810$n
		control = 127.0.0.1:1820$n
		peers = 127.0.0.1:1830$n
		[keys]
		operator_key_file = $RUN/operator.key
		fleet_key_file = $RUN/fleet.key
		[reach]
		platform = http://$PLATFORM
		rating = http://127.0.0.1:18600
	INI
	"$RUN/cornelmux" check --settings "$RUN/vm$n.ini"
	start "vm$n" "$RUN/cornelmux" serve --settings "$RUN/vm$n.ini"
done

OPERATE=(--address 127.0.0.1:18201 --key-file "$RUN/operator.key" --author demo)
"$RUN/demo" wait --address 127.0.0.1:18201
"$RUN/tsagaan_lavra" | "$RUN/cornelmux" apply "${OPERATE[@]}"
if [ "${1:-}" = keep ]; then
	cp "$RUN/operator.key" operator.key
	trap 'stop; rm -f operator.key' EXIT
	trap exit INT TERM
	echo "site: callers at 127.0.0.1:18101 and :18102, control at :18201 and :18202, operators' key in operator.key"
	wait
fi
"$RUN/demo" before --callers http://127.0.0.1:18102 --service http://127.0.0.1:18703
"$RUN/cornelmux" rollout start "${OPERATE[@]}" --model composer --version v2 --step 1 --step-seconds 0
"$RUN/demo" versions --callers http://127.0.0.1:18102 --old composer/v1 --new composer/v2 --session-file "$RUN/session"
"$RUN/cornelmux" rollout halt "${OPERATE[@]}" --model composer --reason "a poor text was seen"
"$RUN/demo" versions --callers http://127.0.0.1:18101 --old composer/v1 --new composer/v1
"$RUN/cornelmux" withdraw "${OPERATE[@]}" --model composer --version v2 --reason "wrong feast in the text"
"$RUN/demo" after --callers http://127.0.0.1:18102 --session-file "$RUN/session"
"$RUN/cornelmux" audit --address 127.0.0.1:18202 --key-file "$RUN/operator.key"
"$RUN/cornelmux" bills --address 127.0.0.1:18202 --key-file "$RUN/operator.key" | grep -E '"request":"[bd]-'
"$RUN/cornelmux" status --address 127.0.0.1:18202 --key-file "$RUN/operator.key"
echo "demo: every answer was right"
