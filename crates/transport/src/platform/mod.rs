//! Client of the platform's key-value service (etcd v3 by JSON over HTTP).
//!
//! A client is bound to the thread that created it. Every error states whether the
//! request may have run, which determines whether a plain retry is safe.

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
