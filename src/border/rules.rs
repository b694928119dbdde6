#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

#[doc = "The limits on load."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, Default)]
#[serde(deny_unknown_fields)]
pub struct Load {
    #[doc = "A load that is always allowed."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub floor: ::std::option::Option<::std::num::NonZeroU32>,
    #[doc = "The most that an upstream may carry, as a multiple of the mean."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub multiple: ::std::option::Option<f64>,
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
#[doc = "What operators lay on top of the register."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    #[doc = "Zones taken out of service."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub draining: ::std::vec::Vec<Name>,
    #[doc = "Upstreams that leave."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub leaving: ::std::vec::Vec<Name>,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub load: ::std::option::Option<Load>,
    #[doc = "The revision of the value, which only grows."]
    pub revision: ::std::num::NonZeroU64,
    #[doc = "Newly started upstreams."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub started: ::std::vec::Vec<Started>,
}
#[doc = "A start of an upstream."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Started {
    #[doc = "A number that grows at each start."]
    pub round: ::std::num::NonZeroU64,
    pub upstream: Name,
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
