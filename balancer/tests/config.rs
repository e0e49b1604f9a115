//! The configuration that the library reads from the environment. This file contains a single test,
//! since it sets its process's environment.

#[path = "../../tests/common/mod.rs"]
mod common;

use basaltwood_balancer::Config;
use common::managed_config;

/// Limits and rates are shared by the balancers that send to the same hosts, whereas the whole
/// fleet calls discovery.
#[test]
fn balancers_in_the_region_map_replace_the_fleet_size_for_the_policy_only() {
    let folder = tempfile::tempdir().expect("a folder");
    let write = |name: &str, text: &str| {
        std::fs::write(folder.path().join(name), text).expect("a file");
        folder.path().join(name)
    };
    std::env::set_var("PROXY_CONFIG", write("config.json", &managed_config(&[], [192, 1024])));
    let mut seen = Vec::new();

    for map in ["", "zones = [\"n1\"]\nbalancers = 519", "zones = [\"n1\"]"] {
        let text = format!("own = \"north\"\n[[region]]\nname = \"north\"\n{map}");
        let file = if map.is_empty() { "".into() } else { write("regions.toml", &text) };
        std::env::set_var("BASALTWOOD_REGIONS", file);
        let config = Config::read().expect("a valid configuration");
        seen.push((config.region_map.is_some(), config.policy.balancers, config.fleet_size));
    }

    assert_eq!(seen, [(false, 2, 2), (true, 519, 2), (true, 2, 2)]);
}
