# Shared functions of the scripts: choose free ports, start processes that end with the
# script, and write the files of a small fleet. To be sourced; requires bash and curl.

root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
bin="${CARGO_TARGET_DIR:-$root/target}/release"
dir="$(mktemp -d)"
ports=" "
pids=()

# Stops all processes that were started here and removes the temporary files.
clean_up() {
    local pid
    for pid in "${pids[@]}"; do
        kill -TERM "$pid" 2>/dev/null || true
    done
    sleep 0.5
    for pid in "${pids[@]}"; do
        kill -KILL "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    [ -n "${KEEP_LOGS:-}" ] && echo "logs: $dir" || rm -rf "$dir"
}
trap clean_up EXIT
trap 'exit 130' INT TERM

build() {
    (cd "$root" && cargo build --release --locked --workspace --bins)
}

# Sets $port to a free port below the range that the system uses for outgoing
# connections.
free_port() {
    while true; do
        port=$((10000 + RANDOM % 20000))
        [[ "$ports" == *" $port "* ]] && continue
        (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null && continue
        ports="$ports$port "
        return
    done
}

# start NAME COMMAND..: starts a process and sets $pid.
start() {
    local name="$1"
    shift
    "$@" >>"$dir/$name.out" 2>>"$dir/$name.err" &
    pid=$!
    pids+=("$pid")
}

# wait_for URL: waits until the URL responds with success; fails after 300 attempts.
wait_for() {
    local tries
    for ((tries = 0; tries < 300; tries++)); do
        curl -fsS -o /dev/null "$1" 2>/dev/null && return
        sleep 0.05
    done
    echo "no answer from $1" >&2
    tail -n 5 "$dir"/*.err >&2
    return 1
}

# publish FILE: atomically publishes the standard input as this file.
publish() {
    mkdir -p "$dir/published"
    cat >"$dir/new"
    mv "$dir/new" "$dir/published/$1"
}

# host_settings NAME ZONE CALLER PEER OPERATOR: writes the settings of a host.
host_settings() {
    cat >"$dir/$1.toml" <<END
[host]
name = "$1"
zone = "$2"
caller = "127.0.0.1:$3"
peer = "127.0.0.1:$4"
operator = "127.0.0.1:$5"

[platform]
addresses = ["127.0.0.1:$platform_port"]

[log]
level = "${LOG_LEVEL:-info}"
END
}

# start_platform: starts a stand-in of the platform that serves the published files.
start_platform() {
    free_port
    platform_port=$port
    start platform "$bin/standin" platform --listen "127.0.0.1:$port" --dir "$dir/published"
}
