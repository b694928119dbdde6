//! The default values of all settings.

use std::time::Duration;

/// The interval between reads of the platform's list of hosts.
pub const PLATFORM_POLL: Duration = Duration::from_secs(10);
/// The maximum time that a watch on the platform waits for a change.
pub const PLATFORM_WATCH: Duration = Duration::from_secs(6);
/// The maximum duration of a read from the platform.
pub const PLATFORM_TIMEOUT: Duration = Duration::from_secs(1);
/// The rate limit of calls to the platform by one host.
pub const PLATFORM_CALLS_PER_SECOND: f64 = 2.0;

/// The interval between heartbeats.
pub const PEER_HEARTBEAT: Duration = Duration::from_secs(1);
/// The time without a heartbeat after which a host counts as gone.
pub const PEER_LEASE: Duration = Duration::from_secs(5);
/// The time without a heartbeat of any of its hosts after which a zone counts as empty.
pub const PEER_LONG_LEASE: Duration = Duration::from_secs(60);
/// The maximum time for a peer to accept a forwarded request.
pub const PEER_HOP_TIMEOUT: Duration = Duration::from_secs(2);
/// The interval between pings on an idle connection to a peer.
pub const PEER_PING: Duration = Duration::from_secs(2);
/// The maximum time for a peer to answer a ping.
pub const PEER_PING_TIMEOUT: Duration = Duration::from_secs(1);

/// The maximum size of the body of a request.
pub const CALLER_BODY_BYTES: usize = 8 * 1024 * 1024;
/// The maximum size of the headers of a request.
pub const CALLER_HEADER_BYTES: usize = 32 * 1024;
/// The maximum time in which a body must arrive.
pub const CALLER_BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// The maximum duration of a request.
pub const CALLER_REQUEST_TIMEOUT: Duration = Duration::from_secs(120);
/// The maximum number of concurrent requests at one host.
pub const CALLER_CONCURRENT: usize = 4096;

/// The maximum time for an upstream to accept a connection.
pub const UPSTREAM_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The maximum time to the first byte of a response.
pub const UPSTREAM_FIRST_BYTE: Duration = Duration::from_secs(30);
/// The maximum time between two frames of a response.
pub const UPSTREAM_BETWEEN_FRAMES: Duration = Duration::from_secs(10);
/// The idle time after which a connection is not used for non-idempotent requests.
pub const UPSTREAM_IDLE: Duration = Duration::from_secs(15);
/// The failures among the last sixteen requests after which an upstream counts as cold.
pub const UPSTREAM_SILENT_ERRORS: u32 = 4;

/// The maximum number of requests queued for one upstream.
pub const QUEUE_LENGTH: usize = 64;
/// The maximum time in a queue.
pub const QUEUE_WAIT: Duration = Duration::from_secs(5);
/// The maximum number of requests of one workspace queued for one upstream.
pub const QUEUE_WORKSPACE_LENGTH: usize = 32;

/// The retries allowed per new request.
pub const RETRY_BUDGET: f64 = 0.1;
/// The maximum number of unused retries that accumulate.
pub const RETRY_BURST: u32 = 10;
/// The maximum number of attempts per request, including the first.
pub const RETRY_ATTEMPTS: u32 = 3;

/// The time for which an execution token is valid.
pub const TOKEN_LIFETIME: Duration = Duration::from_secs(60);
/// The memory for stored responses.
pub const TOKEN_KEPT_BYTES: usize = 64 * 1024 * 1024;
/// The maximum size of a response that is stored.
pub const TOKEN_KEPT_ANSWER_BYTES: usize = 1024 * 1024;
/// The maximum number of unexpired tokens at one host.
pub const TOKEN_COUNT: usize = 100_000;

/// The number of upstreams that a request may crash before it is refused.
pub const STRIKE_LIMIT: u32 = 2;
/// The time for which a request that crashed upstreams is refused.
pub const STRIKE_QUARANTINE: Duration = Duration::from_secs(600);

/// The maximum time that a shutdown waits for requests in progress.
pub const DRAIN_LIMIT: Duration = Duration::from_secs(150);

/// The prefix of all metric names.
pub const METRIC_PREFIX: &str = "masticmoor";
/// The interval between reports of metrics.
pub const METRIC_PERIOD: Duration = Duration::from_secs(10);
/// The number of workspaces with separate histograms.
pub const METRIC_WORKSPACES: usize = 100;

/// The path of the readiness check for the load balancer.
pub const GATEWAY_READY_PATH: &str = "/readyz";
/// The port for datagrams between gateways.
pub const GATEWAY_GOSSIP_PORT: u16 = 7401;
/// The minimum time between two messages of a gateway to other hosts.
pub const GATEWAY_GOSSIP_PAUSE: Duration = Duration::from_millis(120);
/// The maximum time for which an API key still works after its revocation.
pub const GATEWAY_REVOCATION: Duration = Duration::from_secs(5);
/// The part of that time that is reserved for a request to get from its caller to an
/// upstream, and for changes that a watch misses for up to a second.
pub const GATEWAY_REVOCATION_MARGIN: Duration = Duration::from_millis(1_300);
/// The time from the signal to shut down until a gateway is killed.
pub const GATEWAY_GRACE: Duration = Duration::from_secs(8);
/// The retries allowed per request to a service.
pub const GATEWAY_RETRY_RATIO: f64 = 0.2;
/// The additional retries allowed in each window.
pub const GATEWAY_RETRY_SLACK: f64 = 50.0;
/// The window in which retries are counted.
pub const GATEWAY_RETRY_WINDOW: Duration = Duration::from_secs(10);
/// The multiple of its rate that a cold upstream may get.
pub const GATEWAY_COLD_OVERAGE: f64 = 1.0;
/// The additional starts per second that a cold upstream may get.
pub const GATEWAY_COLD_SLACK: f64 = 0.0;
/// The speed of a host's network link, in Mbit/s.
pub const GATEWAY_LINK_MBPS: u32 = 1_000;
/// The memory of a host's machine in MB, if the platform names none: that of the largest of the
/// published machines, so that hosts without the setting refuse no more than they have to.
pub const GATEWAY_MEMORY_MB: u64 = 512;
/// The file descriptors of a gateway, if the platform names none, as for the memory.
pub const GATEWAY_MAX_FDS: u64 = 8_192;
/// The maximum pause within a body: the published idle time-out of connections.
pub const GATEWAY_BODY_IDLE: Duration = Duration::from_secs(15);
/// The minimum rate of a body after its first ten seconds, the longest published deadline.
pub const GATEWAY_BODY_BYTES_PER_SECOND: u32 = 256;
/// Whether the whole fleet starts for the first time. Off by default: a host then asks
/// others for cached prompts, which costs little even if there are none.
pub const GATEWAY_FIRST_START: bool = false;
