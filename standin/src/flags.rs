//! Flags of each command of the binary.

use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::path::PathBuf;

use standin::caller::mix::Mix;
use standin::measure::Strategy;

xflags::xflags! {
    /// Simulated platform, upstreams and callers.
    cmd standin {
        /// Serves the files of a directory as configuration values.
        cmd platform {
            /// The address to listen at.
            required --listen listen: SocketAddr
            /// The directory of the values.
            required --dir dir: PathBuf
        }
        /// Serves chat completions like a model engine.
        cmd engine {
            /// The address to listen at.
            required --listen listen: SocketAddr
            /// The name of the engine.
            optional --name name: String
            /// The model that the engine serves.
            optional --model model: String
            /// How many requests run at a time.
            optional --slots slots: u32
            /// How many requests a cold engine can take; each answer raises the number.
            optional --cold-slots cold_slots: u32
            /// How many answers make the engine warm.
            optional --warm-after warm_after: u32
            /// How long a thousand uncached prompt tokens take, in milliseconds.
            optional --prefill-ms prefill_ms: f64
            /// How long each token of an answer takes, in milliseconds.
            optional --token-ms token_ms: f64
            /// How many prompt tokens the cache holds.
            optional --cache-tokens cache_tokens: u64
        }
        /// Serves lookups and purchases of tickets.
        cmd plain {
            /// The address to listen at.
            required --listen listen: SocketAddr
            /// The name of the instance.
            optional --name name: String
            /// How long each call takes, in milliseconds.
            optional --work-ms work_ms: f64
        }
        /// Sends calls and checks every answer; exits 1 if one was wrong, lost or duplicated.
        cmd caller {
            /// An address that calls are sent to; each call picks one of them.
            repeated --entry entry: SocketAddr
            /// The entries are upstreams, which know no tokens and outcomes.
            optional --direct
            /// The number of concurrent callers; if repeated, there is one run for each.
            repeated --callers callers: u32
            /// Calls per second, in place of a number of callers.
            optional --rate rate: NonZeroU32
            /// The duration of each run, in seconds.
            optional --seconds seconds: f64
            /// Shares of kinds, such as chat=2,stream=3,lookup=4,purchase=1.
            optional --mix mix: Mix
            /// A workspace that sends calls.
            repeated --workspace workspace: String
            /// The model that chats request.
            optional --model model: String
            /// The timeout of one attempt, in milliseconds.
            optional --timeout-ms timeout_ms: f64
            /// An upstream whose journal is audited after the run.
            repeated --journal journal: SocketAddr
            /// The seed of the random choices.
            optional --seed seed: u64
            /// Exits 1 also if a gate lookup was not answered.
            optional --strict
            /// Prints JSON in place of a table.
            optional --json
        }
        /// Simulates placement strategies on synthetic traces.
        cmd measure {
            /// The seed of the traces and faults; 1 if left out.
            optional --seed seed: u64
            /// Control traffic of one host in bytes per second, measured elsewhere.
            optional --control control: f64
            /// The strategy to compare with the oracle; all if left out.
            optional --way way: Strategy
            /// Prints JSON in place of a table.
            optional --json
        }
    }
}
