//! What the library reads from the environment. Alone in its process, whose environment it sets.

#[path = "../../tests/common/mod.rs"]
mod common;

use basaltwood_balancer::Config;
use common::managed;

/// Limits and paces are sums over the balancers that a host deals with; discovery is asked by all.
#[test]
fn the_map_tells_how_many_balancers_a_host_deals_with() {
    let folder = tempfile::tempdir().expect("a folder");
    let write = |name: &str, text: &str| {
        std::fs::write(folder.path().join(name), text).expect("a file");
        folder.path().join(name)
    };
    std::env::set_var("PROXY_CONFIG", write("told.json", &managed(&[], [192, 1024])));
    let mut told = Vec::new();
    for map in ["", "zones = [\"n1\"]\nbalancers = 519", "zones = [\"n1\"]"] {
        let text = format!("own = \"north\"\n[[region]]\nname = \"north\"\n{map}");
        let file = if map.is_empty() { "".into() } else { write("regions.toml", &text) };
        std::env::set_var("BASALTWOOD_REGIONS", file);
        let read = Config::read().expect("it makes sense");
        told.push((read.region_map.is_some(), read.policy.balancers, read.fleet_size));
    }
    assert_eq!(told, [(false, 2, 2), (true, 519, 2), (true, 2, 2)]);
}
