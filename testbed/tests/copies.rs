//! Copies of responses on real paths: a host, the origin or what stands between sends a response
//! again while the next request on its connection is under way.

mod common;

use basaltwood_testbed::figures::Run;
use common::{balancer, breaches, larger, played};

/// Plays a load under which connections are used again within the lateness of copies.
fn played_with(faults: &str) -> Run {
    let load = "[load]\nrate = 500\nconnections = 16\nkeys = 2000\nvalue_bytes = 64\n";
    let run = played(&larger("seconds = 6.0", &format!("{load}{faults}")), &balancer());
    assert!(run.figures.served > run.figures.requests / 2, "{} served", run.figures.served);
    run
}

/// Guards against a copy that is taken for the next response on its connection, with no sign of
/// copies before it: a wrong value, or a false "never ran" of a request that runs.
#[test]
fn first_copy_of_a_hosts_response_answers_no_other_request() {
    let run = played_with(
        "[[faults]]\nkind = \"proxy-copy\"\nhosts = \"all\"\nfrom_s = 0.5\npart = 0.1\n\
         [[faults]]\nkind = \"busy\"\nhosts = \"all\"\nfrom_s = 0.5\npart = 0.15\n",
    );
    assert_eq!(breaches(&run), Vec::<String>::new());
}

/// The same over HTTP: the origin's values, receipts and rejections.
#[test]
fn first_copy_of_the_origins_response_answers_no_other_request() {
    let run = played_with("[[faults]]\nkind = \"origin-copy\"\nfrom_s = 0.5\npart = 0.1\n");
    assert_eq!(breaches(&run), Vec::<String>::new());
}
