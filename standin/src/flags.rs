//! The flags of each command.

use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::path::PathBuf;

use standin::caller::mix::Mix;

use standin::measure::Strategy;

xflags::xflags! {
    /// Small stand-ins for the platform, upstreams and callers.
    cmd standin {
        /// Publishes the values of a directory.
        cmd platform {
            /// The address to listen at.
            required --listen listen: SocketAddr
            /// The directory with the values.
            required --dir dir: PathBuf
        }
        /// Answers chats as a model engine does.
        cmd engine {
            /// The address to listen at.
            required --listen listen: SocketAddr
            /// The name of the engine.
            optional --name name: String
            /// The model that it serves.
            optional --model model: String
            /// How many requests it runs at a time.
            optional --slots slots: u32
            /// How many requests it bears when it starts; more with each answer.
            optional --cold-slots cold_slots: u32
            /// How many answers it gives before it is warm.
            optional --warm-after warm_after: u32
            /// How long a thousand uncached prompt tokens take, in milliseconds.
            optional --prefill-ms prefill_ms: f64
            /// How long each token of an answer takes, in milliseconds.
            optional --token-ms token_ms: f64
            /// How many prompt tokens the cache holds.
            optional --cache-tokens cache_tokens: u64
        }
        /// Answers as a plain service with a ticket desk does.
        cmd plain {
            /// The address to listen at.
            required --listen listen: SocketAddr
            /// The name of the instance.
            optional --name name: String
            /// How long each call takes, in milliseconds.
            optional --work-ms work_ms: f64
        }
        /// Makes calls and checks every answer; exits 1 if one was wrong, lost or doubled.
        cmd caller {
            /// Where calls are sent, each to any of these.
            repeated --entry entry: SocketAddr
            /// The entries are upstreams, without tokens and outcomes.
            optional --direct
            /// How many callers there are; given more than once, one run for each.
            repeated --callers callers: u32
            /// How many calls are made in a second, in place of callers.
            optional --rate rate: NonZeroU32
            /// How long each run lasts, in seconds.
            optional --seconds seconds: f64
            /// Shares of kinds, such as chat=2,stream=3,lookup=4,purchase=1.
            optional --mix mix: Mix
            /// A workspace.
            repeated --workspace workspace: String
            /// The model that chats ask for.
            optional --model model: String
            /// How long one attempt may take, in milliseconds.
            optional --timeout-ms timeout_ms: f64
            /// An upstream whose journal is audited in the end.
            repeated --journal journal: SocketAddr
            /// What chance begins with.
            optional --seed seed: u64
            /// Exits 1 also if a gate lookup was not answered.
            optional --strict
            /// Prints JSON in place of a table.
            optional --json
        }
        /// Measures the project's decisions on synthetic traces.
        cmd measure {
            /// The seed of the traces and faults; 1 if left out.
            optional --seed seed: u64
            /// Control traffic of one host in bytes per second, measured elsewhere.
            optional --control control: f64
            /// One way to measure next to the oracle; all if left out.
            optional --way way: Strategy
            /// Prints JSON.
            optional --json
        }
    }
}
