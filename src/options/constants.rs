//! The defaults of all settings.

use std::time::Duration;

/// Time between two polls of the platform.
pub const PLATFORM_POLL: Duration = Duration::from_secs(10);
/// The longest that a watch on the platform waits.
pub const PLATFORM_WATCH: Duration = Duration::from_secs(6);
/// The longest that the platform may take to answer a read.
pub const PLATFORM_TIMEOUT: Duration = Duration::from_secs(1);
/// Calls to the platform that one host may make a second.
pub const PLATFORM_CALLS_PER_SECOND: f64 = 2.0;

/// Time between two heartbeats.
pub const PEER_BEAT: Duration = Duration::from_secs(1);
/// Silence after which a host counts as gone.
pub const PEER_LEASE: Duration = Duration::from_secs(5);
/// Silence after which a whole zone counts as empty.
pub const PEER_LONG_LEASE: Duration = Duration::from_secs(60);
/// The longest that a peer may take to accept a forwarded request.
pub const PEER_HOP_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two pings on an idle connection to a peer.
pub const PEER_PING: Duration = Duration::from_secs(2);
/// The longest that a peer may take to answer a ping.
pub const PEER_PING_TIMEOUT: Duration = Duration::from_secs(1);

/// The longest body of a request, in bytes.
pub const CALLER_BODY_BYTES: usize = 8 * 1024 * 1024;
/// The longest headers of a request, in bytes.
pub const CALLER_HEADER_BYTES: usize = 32 * 1024;
/// The longest that a body may take to arrive.
pub const CALLER_BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// The longest that a whole request may take.
pub const CALLER_REQUEST_TIMEOUT: Duration = Duration::from_secs(120);
/// Requests under way at one host.
pub const CALLER_CONCURRENT: usize = 4096;

/// The longest that an upstream may take to accept a connection.
pub const UPSTREAM_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The longest wait for the first byte of an answer.
pub const UPSTREAM_FIRST_BYTE: Duration = Duration::from_secs(30);
/// The longest gap within an answer.
pub const UPSTREAM_BETWEEN_FRAMES: Duration = Duration::from_secs(10);
/// A connection unused for longer takes no non-idempotent request.
pub const UPSTREAM_IDLE: Duration = Duration::from_secs(15);
/// Timeouts in a row after which an upstream counts as cold.
pub const UPSTREAM_SILENT_ERRORS: u32 = 4;

/// Requests waiting for one upstream.
pub const QUEUE_LENGTH: usize = 64;
/// The longest wait in a queue.
pub const QUEUE_WAIT: Duration = Duration::from_secs(5);
/// Requests of one workspace waiting for one upstream.
pub const QUEUE_WORKSPACE_LENGTH: usize = 32;

/// Retries for each fresh request.
pub const RETRY_BUDGET: f64 = 0.1;
/// Retries that are saved up at most.
pub const RETRY_BURST: u32 = 10;
/// Attempts at one request, the first included.
pub const RETRY_ATTEMPTS: u32 = 3;

/// How long an execution token is good for.
pub const TOKEN_LIFETIME: Duration = Duration::from_secs(60);
/// Memory for kept answers, in bytes.
pub const TOKEN_KEPT_BYTES: usize = 64 * 1024 * 1024;
/// The largest answer that is kept, in bytes.
pub const TOKEN_KEPT_ANSWER_BYTES: usize = 1024 * 1024;
/// Unexpired tokens at one host.
pub const TOKEN_COUNT: usize = 100_000;

/// Upstreams a request may crash before it is refused.
pub const STRIKE_LIMIT: u32 = 2;
/// How long a request that crashed upstreams is refused.
pub const STRIKE_QUARANTINE: Duration = Duration::from_secs(600);

/// The longest that a shutdown waits for requests under way.
pub const DRAIN_LIMIT: Duration = Duration::from_secs(150);

/// The beginning of all names of metrics.
pub const METRIC_PREFIX: &str = "masticmoor";
/// Time between two reports of metrics.
pub const METRIC_PERIOD: Duration = Duration::from_secs(10);
/// Workspaces with histograms of their own.
pub const METRIC_WORKSPACES: usize = 100;

/// The path at which the balancer asks whether a gateway is ready.
pub const GATEWAY_READY_PATH: &str = "/readyz";
/// The port for datagrams between gateways.
pub const GATEWAY_GOSSIP_PORT: u16 = 7401;
/// The least time between two messages of a gateway to other hosts.
pub const GATEWAY_GOSSIP_PAUSE: Duration = Duration::from_millis(120);
/// How long a key may still be used after it was taken away.
pub const GATEWAY_REVOCATION: Duration = Duration::from_secs(5);
/// Time for a request to get from its caller to an upstream, and for changes that
/// a watch may miss.
pub const GATEWAY_REVOCATION_MARGIN: Duration = Duration::from_millis(1_300);
/// Time from the signal to leave until a gateway is killed.
pub const GATEWAY_GRACE: Duration = Duration::from_secs(8);
/// Retries for each request to a service.
pub const GATEWAY_RETRY_RATIO: f64 = 0.2;
/// Retries beyond these in each window.
pub const GATEWAY_RETRY_SLACK: f64 = 50.0;
/// The window in which retries are counted.
pub const GATEWAY_RETRY_WINDOW: Duration = Duration::from_secs(10);
/// The multiple of its rate that a cold upstream bears.
pub const GATEWAY_COLD_OVERAGE: f64 = 1.0;
/// Starts a second that a cold upstream bears beyond that.
pub const GATEWAY_COLD_SLACK: f64 = 0.0;
/// The speed of a host's link, in Mbit/s.
pub const GATEWAY_LINK_MBPS: u32 = 1_000;
/// Whether the whole fleet starts for the first time: a host that isn't told asks
/// others, which costs little.
pub const GATEWAY_FIRST_START: bool = false;
