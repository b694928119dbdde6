#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

#[doc = "An IP number and a port to reach."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(transparent)]
pub struct Address(pub ::std::net::SocketAddr);
impl ::std::ops::Deref for Address {
    type Target = ::std::net::SocketAddr;
    fn deref(&self) -> &::std::net::SocketAddr {
        &self.0
    }
}
impl ::std::convert::From<Address> for ::std::net::SocketAddr {
    fn from(value: Address) -> Self {
        value.0
    }
}
impl ::std::convert::From<::std::net::SocketAddr> for Address {
    fn from(value: ::std::net::SocketAddr) -> Self {
        Self(value)
    }
}
#[doc = "Limits on what callers send."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Default)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    #[doc = "The longest body, in bytes."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub body_bytes: ::std::option::Option<::std::num::NonZeroU64>,
    #[doc = "The longest that a body may take to arrive."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub body_timeout_ms: ::std::option::Option<::std::num::NonZeroU64>,
    #[doc = "Requests under way."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub concurrent: ::std::option::Option<::std::num::NonZeroU64>,
    #[doc = "The longest headers, in bytes."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub header_bytes: ::std::option::Option<u64>,
    #[doc = "The longest that a whole request may take."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub request_timeout_ms: ::std::option::Option<::std::num::NonZeroU64>,
}
#[doc = "How a shutdown proceeds."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Default)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    #[doc = "The longest that it waits for requests under way."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub limit_ms: ::std::option::Option<::std::num::NonZeroU64>,
}
#[doc = "The form of a line."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum Format {
    #[serde(rename = "text")]
    Text,
    #[serde(rename = "json")]
    Json,
}
impl ::std::fmt::Display for Format {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Text => f.write_str("text"),
            Self::Json => f.write_str("json"),
        }
    }
}
impl ::std::str::FromStr for Format {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Format {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Format {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "Bounds on a gateway; those on upstreams are sums over all hosts."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Default)]
#[serde(deny_unknown_fields)]
pub struct Gateway {
    #[doc = "The least rate of the body of a request, after its first ten seconds."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub body_bytes_per_second: ::std::option::Option<u32>,
    #[doc = "The longest pause within the body of a request."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub body_idle_ms: ::std::option::Option<u64>,
    #[doc = "The multiple of its rate that a cold upstream bears."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub cold_overage: ::std::option::Option<f64>,
    #[doc = "Starts a second that a cold upstream bears beyond that."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub cold_slack: ::std::option::Option<f64>,
    #[doc = "Whether the whole fleet starts for the first time, with upstreams that hold no prompts yet."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub first_start: ::std::option::Option<bool>,
    #[doc = "The least time between two messages to other hosts."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub gossip_pause_ms: ::std::option::Option<u64>,
    #[doc = "The port for datagrams between hosts, the same at all of them."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub gossip_port: ::std::option::Option<::std::num::NonZeroU16>,
    #[doc = "The time from the signal to leave until the process is killed."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub grace_ms: ::std::option::Option<f64>,
    #[doc = "The same in seconds; only one of the two is given."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub grace_s: ::std::option::Option<f64>,
    #[doc = "The speed of this host's link, in Mbit/s."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub link_mbps: ::std::option::Option<f64>,
    #[doc = "The file descriptors that this process may open; empty if unknown."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub max_fds: ::std::option::Option<::std::string::String>,
    #[doc = "The memory of this host's machine, in MB; empty if unknown."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub memory_mb: ::std::option::Option<::std::string::String>,
    #[doc = "The path at which the balancer asks whether the host is ready."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub ready_path: ::std::option::Option<::std::string::String>,
    #[doc = "Retries for each request to a service, over all hosts."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub retry_ratio: ::std::option::Option<f64>,
    #[doc = "Retries beyond these in each window, over all hosts."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub retry_slack: ::std::option::Option<f64>,
    #[doc = "The window in which retries are counted."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub retry_window_ms: ::std::option::Option<f64>,
    #[doc = "The same in seconds; only one of the two is given."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub retry_window_s: ::std::option::Option<f64>,
    #[doc = "How long after a key was taken away it may still be used."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub revocation_ms: ::std::option::Option<f64>,
}
#[doc = "Who a host is and where it listens."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Host {
    pub caller: Listen,
    pub name: Name,
    pub operator: Listen,
    pub peer: Listen,
    pub zone: Name,
}
#[doc = "The level of a line."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum Level {
    #[serde(rename = "error")]
    Error,
    #[serde(rename = "warn")]
    Warn,
    #[serde(rename = "info")]
    Info,
    #[serde(rename = "debug")]
    Debug,
    #[serde(rename = "trace")]
    Trace,
}
impl ::std::fmt::Display for Level {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Error => f.write_str("error"),
            Self::Warn => f.write_str("warn"),
            Self::Info => f.write_str("info"),
            Self::Debug => f.write_str("debug"),
            Self::Trace => f.write_str("trace"),
        }
    }
}
impl ::std::str::FromStr for Level {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "error" => Ok(Self::Error),
            "warn" => Ok(Self::Warn),
            "info" => Ok(Self::Info),
            "debug" => Ok(Self::Debug),
            "trace" => Ok(Self::Trace),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Level {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Level {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "An IP number and a port to listen at."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(transparent)]
pub struct Listen(pub ::std::net::SocketAddr);
impl ::std::ops::Deref for Listen {
    type Target = ::std::net::SocketAddr;
    fn deref(&self) -> &::std::net::SocketAddr {
        &self.0
    }
}
impl ::std::convert::From<Listen> for ::std::net::SocketAddr {
    fn from(value: Listen) -> Self {
        value.0
    }
}
impl ::std::convert::From<::std::net::SocketAddr> for Listen {
    fn from(value: ::std::net::SocketAddr) -> Self {
        Self(value)
    }
}
#[doc = "What is logged."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Default)]
#[serde(deny_unknown_fields)]
pub struct Log {
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub format: ::std::option::Option<Format>,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub level: ::std::option::Option<Level>,
}
#[doc = "Which metrics are sent where."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Default)]
#[serde(deny_unknown_fields)]
pub struct Metric {
    #[doc = "Time between two reports."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub period_ms: ::std::option::Option<u64>,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub prefix: ::std::option::Option<Name>,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub statsd: ::std::option::Option<Address>,
    #[doc = "Workspaces with histograms of their own."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub workspaces: ::std::option::Option<u64>,
}
#[doc = "The name of something."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
#[serde(transparent)]
pub struct Name(pub ::std::string::String);
impl ::std::ops::Deref for Name {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<Name> for ::std::string::String {
    fn from(value: Name) -> Self {
        value.0
    }
}
impl ::std::convert::From<::std::string::String> for Name {
    fn from(value: ::std::string::String) -> Self {
        Self(value)
    }
}
impl ::std::fmt::Display for Name {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
impl ::std::str::FromStr for Name {
    type Err = ::std::convert::Infallible;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.to_string()))
    }
}
#[doc = "How a host talks to other hosts."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Default)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    #[doc = "Time between two heartbeats."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub beat_ms: ::std::option::Option<u64>,
    #[doc = "The longest that a peer may take to accept a request."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub hop_timeout_ms: ::std::option::Option<::std::num::NonZeroU64>,
    #[doc = "Silence after which a host counts as gone."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub lease_ms: ::std::option::Option<u64>,
    #[doc = "Silence after which a whole zone counts as empty."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub long_lease_ms: ::std::option::Option<u64>,
    #[doc = "Time between two pings."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub ping_ms: ::std::option::Option<u64>,
    #[doc = "The longest that a peer may take to answer a ping."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub ping_timeout_ms: ::std::option::Option<::std::num::NonZeroU64>,
    #[doc = "Peers to ask at the start."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub seeds: ::std::vec::Vec<Address>,
}
#[doc = "How a host reads from the platform."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Default)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    #[doc = "Where the platform is reached, in the order to try."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub addresses: ::std::vec::Vec<Address>,
    #[doc = "Calls that the host may make a second."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub calls_per_second: ::std::option::Option<f64>,
    #[doc = "Time between two reads of the platform's list of hosts."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub poll_ms: ::std::option::Option<u64>,
    #[doc = "The longest that a read may take."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub timeout_ms: ::std::option::Option<::std::num::NonZeroU64>,
    #[doc = "The longest that a watch waits."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub watch_ms: ::std::option::Option<u64>,
}
#[doc = "How many requests wait, and for how long."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Default)]
#[serde(deny_unknown_fields)]
pub struct Queue {
    #[doc = "Requests waiting for one upstream."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub length: ::std::option::Option<u64>,
    #[doc = "The longest wait."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub wait_ms: ::std::option::Option<u64>,
    #[doc = "Requests of one workspace waiting for one upstream."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub workspace_length: ::std::option::Option<u64>,
}
#[doc = "How much is tried again."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Default)]
#[serde(deny_unknown_fields)]
pub struct Retry {
    #[doc = "Attempts at one request, the first included."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub attempts: ::std::option::Option<::std::num::NonZeroU32>,
    #[doc = "Retries for each fresh request."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub budget: ::std::option::Option<f64>,
    #[doc = "Retries that are saved up at most."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub burst: ::std::option::Option<u32>,
}
#[doc = "The settings of one host."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub caller: ::std::option::Option<Caller>,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub drain: ::std::option::Option<Drain>,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub gateway: ::std::option::Option<Gateway>,
    pub host: Host,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub log: ::std::option::Option<Log>,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub metric: ::std::option::Option<Metric>,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub peer: ::std::option::Option<Peer>,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub platform: ::std::option::Option<Platform>,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub queue: ::std::option::Option<Queue>,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub retry: ::std::option::Option<Retry>,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub strike: ::std::option::Option<Strike>,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub token: ::std::option::Option<Token>,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub upstream: ::std::option::Option<Upstream>,
}
#[doc = "When a request that crashes upstreams is refused."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Default)]
#[serde(deny_unknown_fields)]
pub struct Strike {
    #[doc = "Upstreams a request may crash before it is refused."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub limit: ::std::option::Option<::std::num::NonZeroU32>,
    #[doc = "How long it is refused."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub quarantine_ms: ::std::option::Option<u64>,
}
#[doc = "How execution tokens and their answers are kept."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Default)]
#[serde(deny_unknown_fields)]
pub struct Token {
    #[doc = "Unexpired tokens."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub count: ::std::option::Option<::std::num::NonZeroU64>,
    #[doc = "The largest answer that is kept, in bytes."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub kept_answer_bytes: ::std::option::Option<u64>,
    #[doc = "Memory for kept answers, in bytes."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub kept_bytes: ::std::option::Option<u64>,
    #[doc = "How long a token is good for."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub lifetime_ms: ::std::option::Option<u64>,
}
#[doc = "Limits on connections to upstreams."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Default)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    #[doc = "The longest gap within an answer."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub between_frames_ms: ::std::option::Option<::std::num::NonZeroU64>,
    #[doc = "The longest that an upstream may take to accept a connection."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub connect_timeout_ms: ::std::option::Option<::std::num::NonZeroU64>,
    #[doc = "The longest wait for the first byte."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub first_byte_ms: ::std::option::Option<::std::num::NonZeroU64>,
    #[doc = "A connection unused for longer takes no non-idempotent request."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub idle_ms: ::std::option::Option<::std::num::NonZeroU64>,
    #[doc = "Failures among the last sixteen requests after which an upstream counts as cold."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub silent_errors: ::std::option::Option<::std::num::NonZeroU32>,
}
#[doc = " Error types."]
pub mod error {
    #[doc = r" Error from a `TryFrom` or `FromStr` implementation."]
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
