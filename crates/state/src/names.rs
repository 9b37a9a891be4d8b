//! Typed names and identifiers.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

macro_rules! text_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Wraps `text` without validation; callers must validate outside input
            /// first.
            pub fn new(text: impl AsRef<str>) -> Self {
                Self(Arc::from(text.as_ref()))
            }

            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{:?}", &*self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self::new(text)
            }
        }
    };
}

text_name! {
    /// Name of a replicated database group: one primary and its replicas. Callers pass
    /// it as the `database` of their start-up message.
    GroupName
}
text_name! {
    /// Name of a database server of a group, unique within the bundle.
    DatabaseName
}
text_name! {
    /// Name of a zone: machines that can fail or be partitioned together.
    ZoneName
}
text_name! {
    /// Name of a region: zones that are close to each other.
    RegionName
}
text_name! {
    /// Name of the tenant that a session belongs to: the `user` of its start-up message.
    TenantName
}
text_name! {
    /// Identifier that a caller assigns to a request that is not repeatable.
    RequestId
}

/// Identifier of a proxy node. It is drawn at random when the process starts, so a
/// restarted process is a new node.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId(pub u64);

impl fmt::Display for NodeId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl fmt::Debug for NodeId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "NodeId({self})")
    }
}

/// Number of a caller's session on one node, from 1 in the order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SessionId(pub u64);

impl fmt::Display for SessionId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}
