//! The hookpoint proxy and the operators' commands, as a library that combines the
//! components of the other crates. The binary of the same name adds the command line.
#![forbid(unsafe_code)]

pub mod operator;
pub mod proxy;
pub mod settings;
