#!/usr/bin/env bash
# Runs a small fleet on this machine under mixed traffic: three entry hosts in two
# zones, two engines and a ticket service. One entry host is killed half-way and
# replaced. Exits 1 if a response was wrong, lost or duplicated, or if a ticket
# lookup was not answered.
set -euo pipefail
source "$(dirname "$0")/lib.sh"

seconds="${SECONDS_OF_TRAFFIC:-12}"
callers="${CALLERS:-16}"

zone_of() {
    case "$1" in
    e2) echo south ;;
    *) echo north ;;
    esac
}

choose_ports() {
    declare -gA caller_port peer_port operator_port
    local host
    for host in e1 e2 e3; do
        free_port && caller_port[$host]=$port
        free_port && peer_port[$host]=$port
        free_port && operator_port[$host]=$port
    done
    free_port && north_port=$port
    free_port && south_port=$port
    free_port && desk_port=$port
}

publish_register() {
    publish register.toml <<END
revision = 1

[[zone]]
name = "north"
region = "island"
near = ["south"]

[[zone]]
name = "south"
region = "island"
near = ["north"]

$(for host in e1 e2 e3; do
        printf '[[host]]\nname = "%s"\nzone = "%s"\npeer = "127.0.0.1:%s"\n\n' \
            "$host" "$(zone_of "$host")" "${peer_port[$host]}"
    done)

[[model]]
name = "assistant"

[[service]]
name = "tickets"
prefix = "/tickets"
class = "urgent"
idempotent = [{ method = "GET", path = "/tickets" }]

[[upstream]]
name = "engine-north"
zone = "north"
address = "127.0.0.1:$north_port"
engine = { models = ["assistant"], role = "whole" }
slots = 16
cold_slots = 4
fenced = false

[[upstream]]
name = "engine-south"
zone = "south"
address = "127.0.0.1:$south_port"
engine = { models = ["assistant"], role = "whole" }
slots = 16
cold_slots = 4
fenced = false

[[upstream]]
name = "desk-north"
zone = "north"
address = "127.0.0.1:$desk_port"
service = "tickets"
slots = 32
cold_slots = 8
fenced = false

[[workspace]]
name = "st-hilda"
weight = 3
END
    publish rules.toml <<END
revision = 1
draining = []
leaving = []

[load]
multiple = 1.5
floor = 4
END
    publish hosts.json <<END
[{"host":"e1","state":"live"},{"host":"e2","state":"live"},{"host":"e3","state":"live"}]
END
}

start_host() {
    start "$1" "$bin/masticmoor" serve --settings "$dir/$1.toml"
}

start_upstreams() {
    local zone port
    for zone in north south; do
        port="${zone}_port"
        start "engine-$zone" "$bin/standin" engine --listen "127.0.0.1:${!port}" \
            --name "engine-$zone" --slots 16 --cold-slots 4 --prefill-ms 20 --token-ms 2
    done
    start desk "$bin/standin" plain --listen "127.0.0.1:$desk_port" --name desk-north --work-ms 2
}

start_callers() {
    start callers "$bin/standin" caller --strict --callers "$callers" --seconds "$seconds" \
        --workspace st-hilda --workspace port-royal --workspace black-river \
        --entry "127.0.0.1:${caller_port[e1]}" \
        --entry "127.0.0.1:${caller_port[e2]}" \
        --entry "127.0.0.1:${caller_port[e3]}" \
        --journal "127.0.0.1:$north_port" \
        --journal "127.0.0.1:$south_port" \
        --journal "127.0.0.1:$desk_port"
    callers_pid=$pid
}

build
choose_ports
publish_register
start_platform
start_upstreams
declare -A host_pid
for host in e1 e2 e3; do
    host_settings "$host" "$(zone_of "$host")" \
        "${caller_port[$host]}" "${peer_port[$host]}" "${operator_port[$host]}"
    start_host "$host"
    host_pid[$host]=$pid
done
for host in e1 e2 e3; do
    wait_for "http://127.0.0.1:${operator_port[$host]}/readyz"
done
echo "three entry hosts are ready; $callers callers for $seconds s"

start_callers
sleep "$((seconds / 2))"
kill -KILL "${host_pid[e1]}"
wait "${host_pid[e1]}" 2>/dev/null || true
echo "e1 was killed"
sleep 1
start_host e1
wait_for "http://127.0.0.1:${operator_port[e1]}/readyz"
echo "e1 was replaced"

result=0
wait "$callers_pid" || result=$?
cat "$dir/callers.out"
exit "$result"
