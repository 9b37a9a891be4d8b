//! Client of the platform's key-value service (etcd v3 by JSON over HTTP).
//!
//! The client belongs to the thread that made it. Every error says whether the request
//! ran, so that a caller knows when it may simply ask again.

mod client;
mod error;
mod follower;
mod registration;
mod retry;
mod rollout;
mod watch;

pub use client::{DEFAULT_REQUEST_TIMEOUT, PlatformClient};
pub use error::PlatformError;
pub use follower::{PlatformCommand, PlatformEvent, PlatformFollower};
pub use registration::{Registration, register};
pub use retry::Backoff;
pub use rollout::{RolloutDriver, RolloutHandle, RolloutLinks};
pub use watch::{Watch, WatchEvent};
