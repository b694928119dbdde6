//! Names of the entities in the register. Each kind of entity has a type of its own,
//! so that names can't be mixed up. Names are ordered and cheap to clone.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

macro_rules! ident {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

ident!(
    /// An entry host of the fleet.
    Host
);
ident!(
    /// An availability zone.
    Zone
);
ident!(
    /// A workspace: the customer to whom a request is attributed.
    Workspace
);
ident!(
    /// An upstream: a model engine or an instance of a plain service.
    Upstream
);
ident!(
    /// A model that engines serve.
    Model
);
ident!(
    /// A plain service, served by one or more upstreams.
    Service
);
ident!(
    /// A chat, unique within its workspace.
    Chat
);
ident!(
    /// A version of the software that an upstream runs.
    Version
);
