#!/usr/bin/env bash
# Measures the overhead of the fleet compared with direct calls of the same upstream in
# the same run: latency, rate, and processor time of the entry hosts. Prints one line for
# each number of callers and each path.
set -euo pipefail
source "$(dirname "$0")/lib.sh"

seconds="${SECONDS_OF_TRAFFIC:-3}"
steps="${CALLERS:-1 16 256}"
ticks_per_second="$(getconf CLK_TCK)"

# The home of an upstream lies in its own zone, so with one host in each zone
# e1 is the home of both upstreams, and e2 has to forward to it.
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

[[host]]
name = "e1"
zone = "north"
peer = "127.0.0.1:$e1_peer"

[[host]]
name = "e2"
zone = "south"
peer = "127.0.0.1:$e2_peer"

[[model]]
name = "assistant"

[[service]]
name = "tickets"
prefix = "/tickets"
class = "urgent"
idempotent = [{ method = "GET", path = "/tickets" }]

[[upstream]]
name = "engine"
zone = "north"
address = "127.0.0.1:$engine_port"
engine = { models = ["assistant"], role = "whole" }
slots = 1024
cold_slots = 1024
fenced = false

[[upstream]]
name = "desk"
zone = "north"
address = "127.0.0.1:$desk_port"
service = "tickets"
slots = 1024
cold_slots = 1024
fenced = false
END
    publish rules.toml <<END
revision = 1

[load]
multiple = 1.5
floor = 1024
END
    publish hosts.json <<END
[{"host":"e1","state":"live"},{"host":"e2","state":"live"}]
END
}

choose_ports() {
    local name
    for name in engine_port desk_port e1_caller e1_peer e1_operator e2_caller e2_peer e2_operator; do
        free_port
        declare -g "$name=$port"
    done
}

start_fleet() {
    start_platform
    start engine "$bin/standin" engine --listen "127.0.0.1:$engine_port" \
        --slots 1024 --cold-slots 1024 --warm-after 0 --prefill-ms 0 --token-ms 0
    start desk "$bin/standin" plain --listen "127.0.0.1:$desk_port"
    host_settings e1 north "$e1_caller" "$e1_peer" "$e1_operator"
    host_settings e2 south "$e2_caller" "$e2_peer" "$e2_operator"
    start e1 "$bin/masticmoor" serve --settings "$dir/e1.toml"
    e1_pid=$pid
    start e2 "$bin/masticmoor" serve --settings "$dir/e2.toml"
    e2_pid=$pid
    wait_for "http://127.0.0.1:$e1_operator/readyz"
    wait_for "http://127.0.0.1:$e2_operator/readyz"
}

# Prints the processor time of both entry hosts, in clock ticks.
ticks() {
    cat "/proc/$e1_pid/stat" "/proc/$e2_pid/stat" |
        sed 's/.*) //' | awk '{ sum += $12 + $13 } END { print sum }'
}

# field NAME JSON: prints the first number with this name.
field() {
    grep -o "\"$1\":[0-9.]*" <<<"$2" | head -n 1 | cut -d: -f2
}

# measure KIND CALLERS WAY PORT [FLAG]: runs callers and prints a line.
measure() {
    local kind="$1" callers="$2" way="$3" port="$4" flag="${5:-}"
    local before after json whole
    before="$(ticks)"
    json="$("$bin/standin" caller --json --entry "127.0.0.1:$port" $flag \
        --mix "$kind=1" --callers "$callers" --seconds "$seconds")"
    after="$(ticks)"
    whole="$(grep -o '"whole":{[^}]*}' <<<"$json" | head -n 1)"
    local p50 p99 rate answered
    p50="$(field p50_us "$whole")"
    p99="$(field p99_us "$whole")"
    rate="$(field answered_per_second "$json")"
    answered="$(awk -v rate="$rate" -v seconds="$(field seconds "$json")" 'BEGIN { print rate * seconds }')"
    if [ "$way" = direct ]; then
        direct_p50="$p50"
        direct_p99="$p99"
    fi
    awk -v kind="$kind" -v callers="$callers" -v way="$way" -v rate="$rate" \
        -v p50="$p50" -v p99="$p99" -v d50="$direct_p50" -v d99="$direct_p99" \
        -v ticks="$((after - before))" -v per="$ticks_per_second" -v answered="$answered" \
        'BEGIN {
            cpu = answered > 0 ? ticks * 1e6 / per / answered : 0
            printf "%-8s%8d  %-8s%10.0f%10d%10d%10d%10d%8.2f%8.2f%10.1f\n", kind, callers, way,
                rate, p50, p99, p50 - d50, p99 - d99, p50 / d50, p99 / d99, cpu
        }'
}

build
choose_ports
publish_register
start_fleet
printf '%-8s%8s  %-8s%10s%10s%10s%10s%10s%8s%8s%10s\n' kind callers way per-s \
    p50-us p99-us +p50-us +p99-us x-p50 x-p99 cpu-us
for callers in $steps; do
    measure lookup "$callers" direct "$desk_port" --direct
    measure lookup "$callers" same "$e1_caller"
    measure lookup "$callers" other "$e2_caller"
done
for callers in $steps; do
    measure stream "$callers" direct "$engine_port" --direct
    measure stream "$callers" same "$e1_caller"
    measure stream "$callers" other "$e2_caller"
done
