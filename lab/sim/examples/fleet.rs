//! x
use hookpoint_sim::fleet::*;
fn main() {
    let nodes: usize = std::env::args().nth(1).unwrap().parse().unwrap();
    let mut s = FleetSettings::of_size(nodes);
    if let Some(q) = std::env::args().nth(3) {
        s.join_ms = q.parse().unwrap();
    }
    if let Some(q) = std::env::args().nth(2) {
        s.quiet_ms = q.parse().unwrap();
    }
    let r = run(&s);
    println!("{}", serde_json::to_string_pretty(&r).unwrap());
}
