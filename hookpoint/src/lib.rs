//! hookpoint: the proxy and the operators' commands, as a library that wires the parts
//! of the other crates. The binary of the same name only reads its arguments.
#![forbid(unsafe_code)]

pub mod operator;
pub mod proxy;
pub mod settings;
