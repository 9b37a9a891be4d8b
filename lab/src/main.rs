//! hookpoint-lab binary
fn main() {}
