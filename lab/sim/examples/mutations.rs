use hookpoint_sim::*;
fn main() {
    let seeds: u64 = std::env::args().nth(1).unwrap().parse().unwrap();
    for m in Mutation::ALL {
        for d in [SimDeployment::CostaRica, SimDeployment::Greece] {
            let r = search_mutation(&SimSettings::today(d), m, 1, seeds, 6);
            println!(
                "{:?} {:?} first {:?} found {}/{} {:?}",
                m, d, r.seeds_to_find, r.found_by, r.seeds, r.invariants
            );
        }
    }
}
