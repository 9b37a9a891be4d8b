//! hookpoint binary
fn main() {}
