//! The laboratory: runs stand-ins, proxies, workload and measurements of a complete
//! deployment in one process on loopback.
#![forbid(unsafe_code)]

pub mod bundles;
pub mod commands;
pub mod demo;
pub mod fault;
pub mod flags;
pub mod fleet;
pub mod laboratory;
pub mod logs;
pub mod stack;
