//! Parsing of the operators' region file, and the errors for invalid files.

use basaltwood_regions::{RegionMap, RegionMapError, RegionMapProblem};
use expect_test::expect;

const VALID: &str = r#"own = "north"

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
    let map = RegionMap::parse("regions.toml", VALID).expect("a valid region file");
    assert_eq!(
        (map.own(), map.names(), map.balancers()),
        ("north", &["north".into(), "south".into()][..], Some(519))
    );
    let other = VALID.replace("own = \"north\"", "own = \"south\"");
    let map = RegionMap::parse("regions.toml", &other).expect("a valid region file");
    assert_eq!(
        (map.own(), map.balancers()),
        ("south", None),
        "only the own region's number of balancers is used"
    );
}

/// The error for each variant of the valid file, with a line break at each colon and semicolon.
fn errors(replacements: &[(&str, &str)]) -> String {
    let mut lines = Vec::new();
    for (part, replacement) in replacements {
        let text = VALID.replacen(part, replacement, 1);
        assert_ne!(text, VALID);
        let error = RegionMap::parse("regions.toml", &text).expect_err("an invalid region file").to_string();
        assert!(!error.contains('\n'), "{error:?}");
        lines.push(error.replace("; ", ";\n    ").replace(": ", ":\n    "));
    }
    lines.join("\n")
}

#[test]
fn invalid_regions_and_zones_are_refused_in_one_line_with_a_remedy() {
    let errors = errors(&[
        ("\"z03\"", "\"z02\""),
        ("\"z02\"", "\"z01\""),
        ("own = \"north\"", "own = \"west\""),
        ("[\"z03\"]", "[]"),
        ("\"south\"", "\"north\""),
        ("own = \"north\"", "own = \"\""),
        ("\"south\"", "\" \""),
        ("\"z03\"", "\"\""),
        (VALID, "own = \"north\"\n"),
    ]);
    expect![[r#"
        regions.toml line 11:
            zone "z02" is in region "north" (line 5) and in "south":
            remove it from one
        regions.toml line 5:
            zone "z01" is in region "north" twice:
            remove one
        regions.toml line 1:
            no region "west":
            own must be one of "north", "south"
        regions.toml line 11:
            region "south" has no zone:
            give it one, or remove the region
        regions.toml line 10:
            region "north" is already defined on line 4:
            merge the two
        regions.toml line 1:
            own is empty:
            give it a name
        regions.toml line 10:
            the name of a region is empty:
            give it a name
        regions.toml line 11:
            the name of a zone is empty:
            give it a name
        regions.toml line 1:
            no region:
            add a [[region]], or remove the file"#]]
    .assert_eq(&errors);
}

#[test]
fn invalid_counts_are_refused_in_one_line_with_a_remedy() {
    let errors = errors(&[
        ("519", "0"),
        ("519", "-2"),
        ("519", "5_000_000_000"),
        ("519", "\"many\""),
        ("hosts = 8", "hosts = 0"),
        ("hosts = 8", "hosts = -1"),
        ("hosts = 8", "hosts = 5_000_000_000"),
        ("hosts = 8", "hosts = 0.5"),
    ]);
    expect![[r#"
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
            see deploy/regions.example.toml for the form"#]]
    .assert_eq(&errors);
}

#[test]
fn invalid_form_is_refused_in_one_line_with_a_remedy() {
    let errors = errors(&[
        ("own = \"north\"", ""),
        ("zones = [\"z03\"]", ""),
        ("zones = [\"z03\"]", "zones = [\"z03\"]\nzone = \"z04\""),
        ("own = \"north\"", "own = \"north\"\nnext = \"south\""),
        ("zones = [\"z03\"]", "zones = \"z03\""),
        ("\"z03\"]", "\"z03\""),
        (VALID, ""),
    ]);
    expect![[r#"
        regions.toml line 1:
            missing field `own`;
            see deploy/regions.example.toml for the form
        regions.toml line 9:
            missing field `zones`;
            see deploy/regions.example.toml for the form
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
            missing field `own`;
            see deploy/regions.example.toml for the form"#]]
    .assert_eq(&errors);
}

#[test]
fn error_has_file_line_and_problem() {
    let text = VALID.replacen("\"z03\"", "\"z01\"", 1);
    let error = RegionMap::parse("regions.toml", &text).expect_err("an invalid region file");
    let problem = RegionMapProblem::SharedZone {
        zone: "z01".to_owned(),
        first_region: "north".to_owned(),
        first_line: 5,
        region: "south".to_owned(),
    };
    assert_eq!(error, RegionMapError { file: "regions.toml".to_owned(), line: 11, problem });
}

/// Every region's copy of a map has the same version, however the file is formatted.
#[test]
fn version_depends_on_all_of_a_map_except_the_own_region() {
    let version =
        |text: &str| RegionMap::parse("regions.toml", text).map(|map| format!("{:08x}", map.version()));
    let mut lines = vec![version(VALID).expect("a valid region file")];
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
        let text = VALID.replacen(part, by, 1);
        assert_ne!(text, VALID);
        let (version, same) = (version(&text).expect("a valid region file"), &lines[0]);
        let word = if version == *same { "the same" } else { "another" };
        lines.push(format!("{word}: {part:?} now {by:?}"));
    }
    let (north, south) = VALID.split_at(VALID.rfind("[[region]]").expect("a second region"));
    let (own, north) = north.split_once("\n\n").expect("an empty line");
    let reversed = version(&format!("{own}\n{south}{north}")).expect("a valid region file");
    lines.push(format!("{}: regions reversed", if reversed == lines[0] { "the same" } else { "another" }));
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
        another: regions reversed"##]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn example_file_parses() {
    let text = include_str!("../../deploy/regions.example.toml");
    let map = RegionMap::parse("regions.example.toml", text).expect("a valid region file");
    assert_eq!((map.own(), map.names().len(), map.balancers()), ("north", 2, Some(519)));
}
