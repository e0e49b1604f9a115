//! The operators' map: the path it is read from, refused maps, and the display of its version.

use std::path::Path;

use expect_test::expect;

use crate::common::*;
use crate::fleet::*;

#[test]
fn invalid_region_map_ends_the_start_with_one_line() {
    let text = managed_config(&[], [192, 1024]);
    let mut lines = Vec::new();
    let mut refused = |mut program: Program| {
        let code = program.wait_for_exit().code();
        let log: Vec<String> = program.remaining_log().iter().map(|line| refusal(line)).collect();
        lines.push(format!("{code:?} {}", log.join(" / ")));
    };
    for map in
        [MAP.replace("\"s1\"", "\"n2\""), MAP.replace("own = \"north\"", "own = \"west\""), "{".to_owned()]
    {
        refused(Program::with_regions(BINARY, &text, &map));
    }
    let folder = tempfile::tempdir().expect("a folder");
    std::fs::create_dir(folder.path().join("deploy")).expect("a folder");
    std::fs::write(folder.path().join("deploy/regions.toml"), "own = \"north\"\n").expect("a file");
    refused(Program::with_config_in(BINARY, &text, folder.path()));
    expect![[r#"
        Some(1)  line 7: zone "n2" is in region "north" (line 4) and in "south": remove it from one
        Some(1)  line 1: no region "west": own must be one of "north", "south"
        Some(1)  line 1: invalid key-value pair, expected key; see deploy/regions.example.toml for the form
        Some(1)  line 1: no region: add a [[region]], or remove the file"#]]
    .assert_eq(&lines.join("\n"));
}

/// Without a file at the default path there are no regions. A file at the default path is used even
/// if no variable names it.
#[test]
fn region_map_at_the_default_path_is_read_from_the_working_directory() {
    let (a, b) = (host_named("a"), host_named("b"));
    let known = [zoned_entry("a", "n1", a.address, "active"), zoned_entry("b", "s1", b.address, "active")];
    let text = config(unreachable_address(), &known, SETTINGS);
    let folder = tempfile::tempdir().expect("a folder");
    let serve = |folder: &Path, awaited: &[&str]| {
        let program = Program::with_config_in(BINARY, &text, folder).serving();
        let line = program.wait_for_counter("endpoint_lists", 1);
        (answering_hosts(&program, awaited), line.contains(" regions_rings=0 "))
    };
    assert_eq!(serve(folder.path(), &["a", "b"]), ("a b".to_owned(), true));
    std::fs::create_dir(folder.path().join("deploy")).expect("a folder");
    std::fs::write(folder.path().join("deploy/regions.toml"), MAP).expect("a file");
    assert_eq!(serve(folder.path(), &["a"]), ("a".to_owned(), true));
}

/// A zone is moved from the north to the south, and some balancers have the old map and others the
/// new one. Each uses the ring of its own map, and a drain of a host is honoured by all that use
/// it.
#[test]
fn balancers_with_different_map_versions_each_use_their_own_ring() {
    let (a, b, c) = (host_named("a"), host_named("b"), host_named("c"));
    let discovery = Discovery::start();
    let list = |lifecycle_of_b: &str| {
        let (a, b) =
            (zoned_entry("a", "n1", a.address, "active"), zoned_entry("b", "n2", b.address, lifecycle_of_b));
        vec![a, b, zoned_entry("c", "s1", c.address, "active")]
    };
    let moved = MAP.replace(r#""n1", "n2""#, r#""n1""#).replace(r#""s1""#, r#""s1", "n2""#);
    let moved_south = moved.replace("own = \"north\"", "own = \"south\"");
    let programs = [MAP, &moved, &moved_south]
        .map(|map| start_with_map(map, discovery.peer.address, &list("active"), SETTINGS));
    let mut trace = Vec::new();
    let awaited = [&["a", "b"][..], &["a"], &["b", "c"]];
    for (program, awaited) in programs.iter().zip(awaited) {
        let metrics = program.metrics("edge_proxy_regions_hosts_unnamed 0");
        trace.extend(metrics.lines().filter(|line| line.starts_with("regions_map")).map(str::to_owned));
        trace.push(answering_hosts(program, awaited));
    }
    // The metric of unnamed hosts, here one that no ring has, shows when this list has been
    // applied.
    let drained = [list("leaving"), vec![zoned_entry("x", "x1", unreachable_address(), "active")]].concat();
    discovery.publish(&drained);
    for program in &programs {
        program.metrics("edge_proxy_regions_hosts_unnamed 1");
    }
    while b.try_next().is_some() {}
    trace.extend(
        programs.iter().zip(["a", "a", "c"]).map(|(program, awaited)| answering_hosts(program, &[awaited])),
    );
    let later: Vec<String> = std::iter::from_fn(|| b.try_next()).filter(|seen| seen != "closed").collect();
    assert!(later.is_empty(), "{later:?} arrived after the host's drain");
    expect![[r#"
        regions_map{version="6289afb4"} 1
        a b
        regions_map{version="2d263844"} 1
        a
        regions_map{version="2d263844"} 1
        b c
        a
        a
        c"#]]
    .assert_eq(&trace.join("\n"));
}

/// The version is shown in a log line at the start and as a metric.
#[test]
fn copies_of_one_map_for_different_regions_show_the_same_version() {
    let a = host_named("a");
    let known = [zoned_entry("a", "n1", a.address, "active"), zoned_entry("b", "s1", a.address, "active")];
    let text = config(unreachable_address(), &known, SETTINGS);
    let versions = |map: &str| {
        let mut program = Program::with_regions(BINARY, &text, map);
        let line = program.wait_for_log("regions: map");
        program.wait_for_admin();
        let program = program.serving();
        let metrics = program.metrics("edge_proxy_regions_hosts_ring 1");
        let metric = metrics.lines().find(|line| line.starts_with("regions_map")).expect("a metric");
        format!("{} / {metric}", line.split_once("regions: ").expect("the regions' part").1)
    };
    let south = MAP.replace("own = \"north\"", "# The south's copy.\nown = \"south\"");
    let other = MAP.replace("\"n2\"", "\"n3\"");
    expect![[r#"
        map 6289afb4, own region "north" / regions_map{version="6289afb4"} 1
        map 6289afb4, own region "south" / regions_map{version="6289afb4"} 1
        map f7f97b21, own region "north" / regions_map{version="f7f97b21"} 1"#]]
    .assert_eq(&[MAP, &south, &other].map(versions).join("\n"));
}

/// A refusal without the names of the program and the file.
fn refusal(line: &str) -> String {
    text_after(&text_after(line, "basaltwood-balancer: "), ".toml")
}
