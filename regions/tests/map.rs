//! The operators' file: what it tells, and how one that makes no sense is refused.

use basaltwood_regions::RegionMap;
use expect_test::expect;

const GOOD: &str = r#"own = "north"

[[region]]
name = "north"
zones = ["z01", "z02"]
balancers = 519
hosts = 8

[[region]]
name = "south"
zones = ["z03"]
"#;

#[test]
fn file_gives_region_names_and_balancers_of_the_own_region() {
    let map = RegionMap::parse("regions.toml", GOOD).expect("it is valid");
    assert_eq!(
        (map.own(), map.names(), map.balancers()),
        ("north", &["north".into(), "south".into()][..], Some(519))
    );
    let other = GOOD.replace("own = \"north\"", "own = \"south\"");
    let map = RegionMap::parse("regions.toml", &other).expect("it is valid");
    assert_eq!((map.own(), map.balancers()), ("south", None), "only the own region's number counts");
}

#[test]
fn invalid_file_is_refused_in_one_line_with_the_way_out() {
    let mut lines = Vec::new();
    for (part, by) in [
        ("\"z03\"", "\"z02\""),
        ("\"z02\"", "\"z01\""),
        ("own = \"north\"", "own = \"west\""),
        ("own = \"north\"", ""),
        ("[\"z03\"]", "[]"),
        ("zones = [\"z03\"]", ""),
        ("\"south\"", "\"north\""),
        ("519", "0"),
        ("519", "-2"),
        ("519", "5_000_000_000"),
        ("519", "\"many\""),
        ("hosts = 8", "hosts = 0"),
        ("hosts = 8", "hosts = -1"),
        ("hosts = 8", "hosts = 5_000_000_000"),
        ("hosts = 8", "hosts = 0.5"),
        ("own = \"north\"", "own = \"\""),
        ("\"south\"", "\" \""),
        ("\"z03\"", "\"\""),
        ("zones = [\"z03\"]", "zones = [\"z03\"]\nzone = \"z04\""),
        ("own = \"north\"", "own = \"north\"\nnext = \"south\""),
        ("zones = [\"z03\"]", "zones = \"z03\""),
        ("\"z03\"]", "\"z03\""),
        (GOOD, "own = \"north\"\n"),
        (GOOD, ""),
    ] {
        let text = GOOD.replacen(part, by, 1);
        assert_ne!(text, GOOD);
        let refusal = RegionMap::parse("regions.toml", &text).expect_err("it is invalid");
        assert!(!refusal.contains('\n'), "{refusal:?}");
        lines.push(refusal.replace("; ", ";\n    ").replace(": ", ":\n    "));
    }
    expect![[r#"
        regions.toml line 11:
            zone "z02" is in region "north" (line 5) and in "south":
            remove it from one
        regions.toml line 5:
            zone "z01" is in region "north" twice:
            remove one
        regions.toml line 1:
            no region "west":
            own is to be one of "north", "south"
        regions.toml line 1:
            missing field `own`;
            see deploy/regions.example.toml for the form
        regions.toml line 11:
            region "south" has no zone:
            give it one, or remove the region
        regions.toml line 9:
            missing field `zones`;
            see deploy/regions.example.toml for the form
        regions.toml line 10:
            region "north" is named on line 4 too:
            make one of both
        regions.toml line 6:
            region "north" has balancers = 0:
            say how many there are, 1 or more, or leave it out
        regions.toml line 6:
            region "north" has balancers = -2:
            say how many there are, 1 or more, or leave it out
        regions.toml line 6:
            region "north" has balancers = 5000000000:
            say how many there are, 1 or more, or leave it out
        regions.toml line 6:
            invalid type:
            string "many", expected i64;
            see deploy/regions.example.toml for the form
        regions.toml line 7:
            region "north" has hosts = 0:
            say how many must be up, 1 or more, or leave it out
        regions.toml line 7:
            region "north" has hosts = -1:
            say how many must be up, 1 or more, or leave it out
        regions.toml line 7:
            region "north" has hosts = 5000000000:
            say how many must be up, 1 or more, or leave it out
        regions.toml line 7:
            invalid type:
            floating point `0.5`, expected i64;
            see deploy/regions.example.toml for the form
        regions.toml line 1:
            own is empty:
            give it a name
        regions.toml line 10:
            the name of a region is empty:
            give it a name
        regions.toml line 11:
            the name of a zone is empty:
            give it a name
        regions.toml line 12:
            unknown field `zone`, expected one of `name`, `zones`, `balancers`, `hosts`;
            see deploy/regions.example.toml for the form
        regions.toml line 2:
            unknown field `next`, expected `own` or `region`;
            see deploy/regions.example.toml for the form
        regions.toml line 11:
            invalid type:
            string "z03", expected a sequence;
            see deploy/regions.example.toml for the form
        regions.toml line 11:
            unclosed array, expected `]`;
            see deploy/regions.example.toml for the form
        regions.toml line 1:
            no region:
            add a [[region]], or remove the file
        regions.toml line 1:
            missing field `own`;
            see deploy/regions.example.toml for the form"#]]
    .assert_eq(&lines.join("\n"));
}

/// By what the map says, whoever's copy it is and however that is written.
#[test]
fn version_differs_by_all_a_map_says_but_the_own_region() {
    let version =
        |text: &str| RegionMap::parse("regions.toml", text).map(|map| format!("{:08x}", map.version()));
    let mut lines = vec![version(GOOD).expect("it is valid")];
    for (part, by) in [
        ("own = \"north\"", "own = \"south\""),
        ("own = \"north\"", "# The southern copy.\nown = 'south'   # here"),
        ("[\"z01\", \"z02\"]", "[\n  \"z02\",\n  \"z01\", # the other\n]"),
        ("zones = [\"z03\"]", "zones = [\"z03\"]\nhosts = 1"),
        ("\"z02\"", "\"z04\""),
        ("\"z02\"]", "\"z02\", \"z04\"]"),
        ("[\"z01\", \"z02\"]", "[\"z01z02\"]"),
        ("name = \"south\"", "name = \"east\""),
        ("519", "518"),
        ("balancers = 519\n", ""),
        ("hosts = 8", "hosts = 9"),
        ("hosts = 8\n", ""),
        ("zones = [\"z03\"]", "zones = [\"z03\"]\nbalancers = 20"),
        ("[[region]]", "[[region]]\nname = \"west\"\nzones = [\"z05\"]\n[[region]]"),
    ] {
        let text = GOOD.replacen(part, by, 1);
        assert_ne!(text, GOOD);
        let (version, same) = (version(&text).expect("it is valid"), &lines[0]);
        let word = if version == *same { "the same" } else { "another" };
        lines.push(format!("{word}: {part:?} now {by:?}"));
    }
    let (north, south) = GOOD.split_at(GOOD.rfind("[[region]]").expect("it is there"));
    let (own, north) = north.split_once("\n\n").expect("an empty line");
    let turned = version(&format!("{own}\n{south}{north}")).expect("it is valid");
    lines.push(format!("{}: turned round", if turned == lines[0] { "the same" } else { "another" }));
    expect![[r##"
        7a4aced4
        the same: "own = \"north\"" now "own = \"south\""
        the same: "own = \"north\"" now "# The southern copy.\nown = 'south'   # here"
        the same: "[\"z01\", \"z02\"]" now "[\n  \"z02\",\n  \"z01\", # the other\n]"
        the same: "zones = [\"z03\"]" now "zones = [\"z03\"]\nhosts = 1"
        another: "\"z02\"" now "\"z04\""
        another: "\"z02\"]" now "\"z02\", \"z04\"]"
        another: "[\"z01\", \"z02\"]" now "[\"z01z02\"]"
        another: "name = \"south\"" now "name = \"east\""
        another: "519" now "518"
        another: "balancers = 519\n" now ""
        another: "hosts = 8" now "hosts = 9"
        another: "hosts = 8\n" now ""
        another: "zones = [\"z03\"]" now "zones = [\"z03\"]\nbalancers = 20"
        another: "[[region]]" now "[[region]]\nname = \"west\"\nzones = [\"z05\"]\n[[region]]"
        another: turned round"##]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn example_file_parses() {
    let text = include_str!("../../deploy/regions.example.toml");
    let map = RegionMap::parse("regions.example.toml", text).expect("it is valid");
    assert_eq!((map.own(), map.names().len(), map.balancers()), ("north", 2, Some(519)));
}
