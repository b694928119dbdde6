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
#[doc = "Calls by method and the beginning of the path."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Call {
    pub method: Method,
    pub path: Path,
}
#[doc = "The class of a call that names none."]
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
pub enum Class {
    #[serde(rename = "urgent")]
    Urgent,
    #[serde(rename = "interactive")]
    Interactive,
    #[serde(rename = "batch")]
    Batch,
}
impl ::std::fmt::Display for Class {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Urgent => f.write_str("urgent"),
            Self::Interactive => f.write_str("interactive"),
            Self::Batch => f.write_str("batch"),
        }
    }
}
impl ::std::str::FromStr for Class {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "urgent" => Ok(Self::Urgent),
            "interactive" => Ok(Self::Interactive),
            "batch" => Ok(Self::Batch),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Class {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Class {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "What an engine serves."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    #[doc = "The models it serves."]
    pub models: ::std::vec::Vec<Name>,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub role: ::std::option::Option<Role>,
}
#[doc = "An entry host."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Host {
    pub name: Name,
    pub peer: Address,
    pub zone: Name,
}
#[doc = "An HTTP method."]
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
pub enum Method {
    #[serde(rename = "GET")]
    Get,
    #[serde(rename = "HEAD")]
    Head,
    #[serde(rename = "OPTIONS")]
    Options,
    #[serde(rename = "PUT")]
    Put,
    #[serde(rename = "DELETE")]
    Delete,
    #[serde(rename = "POST")]
    Post,
    #[serde(rename = "PATCH")]
    Patch,
}
impl ::std::fmt::Display for Method {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Get => f.write_str("GET"),
            Self::Head => f.write_str("HEAD"),
            Self::Options => f.write_str("OPTIONS"),
            Self::Put => f.write_str("PUT"),
            Self::Delete => f.write_str("DELETE"),
            Self::Post => f.write_str("POST"),
            Self::Patch => f.write_str("PATCH"),
        }
    }
}
impl ::std::str::FromStr for Method {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "GET" => Ok(Self::Get),
            "HEAD" => Ok(Self::Head),
            "OPTIONS" => Ok(Self::Options),
            "PUT" => Ok(Self::Put),
            "DELETE" => Ok(Self::Delete),
            "POST" => Ok(Self::Post),
            "PATCH" => Ok(Self::Patch),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Method {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Method {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "A model in use."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Model {
    pub name: Name,
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
#[doc = "A path."]
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
pub struct Path(pub ::std::string::String);
impl ::std::ops::Deref for Path {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<Path> for ::std::string::String {
    fn from(value: Path) -> Self {
        value.0
    }
}
impl ::std::convert::From<::std::string::String> for Path {
    fn from(value: ::std::string::String) -> Self {
        Self(value)
    }
}
impl ::std::fmt::Display for Path {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
impl ::std::str::FromStr for Path {
    type Err = ::std::convert::Infallible;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.to_string()))
    }
}
#[doc = "What operators say exists."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Register {
    #[doc = "The entry hosts."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub host: ::std::vec::Vec<Host>,
    #[doc = "The models in use."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub model: ::std::vec::Vec<Model>,
    #[doc = "The revision of the value, which only grows."]
    pub revision: ::std::num::NonZeroU64,
    #[doc = "The plain services."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub service: ::std::vec::Vec<Service>,
    #[doc = "The upstreams."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub upstream: ::std::vec::Vec<Upstream>,
    #[doc = "The workspaces with a weight of their own."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub workspace: ::std::vec::Vec<Workspace>,
    #[doc = "How many more values list workspaces."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub workspace_parts: ::std::option::Option<u32>,
    #[doc = "The availability zones."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub zone: ::std::vec::Vec<Zone>,
}
#[doc = "The part an engine plays."]
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
pub enum Role {
    #[serde(rename = "whole")]
    Whole,
    #[serde(rename = "reserve")]
    Reserve,
}
impl ::std::fmt::Display for Role {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Whole => f.write_str("whole"),
            Self::Reserve => f.write_str("reserve"),
        }
    }
}
impl ::std::str::FromStr for Role {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "whole" => Ok(Self::Whole),
            "reserve" => Ok(Self::Reserve),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Role {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Role {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "A plain service."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Service {
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub class: ::std::option::Option<Class>,
    #[doc = "The idempotent calls."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub idempotent: ::std::vec::Vec<Call>,
    pub name: Name,
    pub prefix: Path,
}
#[doc = "An upstream."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    pub address: Address,
    #[doc = "Requests it bears at a time when cold."]
    pub cold_slots: ::std::num::NonZeroU32,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub engine: ::std::option::Option<Engine>,
    #[doc = "Whether it refuses an order with an old fencing number."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub fenced: ::std::option::Option<bool>,
    pub name: Name,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub service: ::std::option::Option<Name>,
    #[doc = "Requests it runs at a time when warm."]
    pub slots: ::std::num::NonZeroU32,
    pub zone: Name,
}
#[doc = "The share of a workspace."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    pub name: Name,
    #[doc = "Its share next to other workspaces."]
    pub weight: ::std::num::NonZeroU32,
}
#[doc = "An availability zone."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    pub name: Name,
    #[doc = "Other zones, nearest first, that help it out."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub near: ::std::vec::Vec<Name>,
    pub region: Name,
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
