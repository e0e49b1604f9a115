//! Invalid input is refused with one line that names the place and the remedy.

mod common;

use basaltwood_testbed::experiment::Experiment;
use basaltwood_testbed::load::plan::Plan;
use basaltwood_testbed::load::trace;
use common::*;
use expect_test::expect;

#[test]
fn invalid_trace_is_refused_with_its_line() {
    let experiment = experiment("seconds = 1.0", "[load]\nrate = 1");
    let good = r#"{"at_us":5,"category":"read","key":"a"}"#;
    let lines = [
        r#"{"at_us":4,"category":"read","key":"a"}"#,
        r#"{"at_us":6,"category":"unheard","key":"a"}"#,
        r#"{"at_us":6,"category":"read","customer":"acme","key":"a"}"#,
        r#"{"at_us":6,"category":"read","key":"a\n"}"#,
        r#"{"at_us":6,"category":"read","ke"#,
        r#"{"at_us":6,"category":"read","key":"a","colour":1}"#,
        "at_us 6",
    ];
    let mut messages =
        vec![trace::import(&b""[..], &experiment, 1.0).expect_err("an empty trace").to_string()];
    for line in lines {
        let text = format!("{good}\n\n{line}");
        messages.push(trace::import(text.as_bytes(), &experiment, 1.0).expect_err(line).to_string());
    }
    messages.push(
        trace::from_csv(&b"time_s,category,key\n1,read,a\nx,read,b\n"[..])
            .expect_err("an invalid time")
            .to_string(),
    );
    expect![[r#"
        the trace holds no requests
        line 3: at_us 4 is before 5 of the preceding line: sort the lines by at_us
        line 3: no category "unheard": the experiment has read, once, put
        line 3: no customer "acme": add it to the experiment's [[customers]]
        line 3: key must be non-empty and without control characters, size at most 65536 bytes
        line 3: EOF while parsing a string at line 1 column 32: the line is incomplete: remove it or write at_us, category, key and optionally customer and size
        line 3: unknown field `colour`, expected one of `at_us`, `category`, `customer`, `key`, `size` at line 1 column 47: write at_us, category, key and optionally customer and size
        line 3: expected value at line 1 column 1: write at_us, category, key and optionally customer and size
        row 2: CSV deserialize error: record 2 (line: 3, byte: 29): field 0: invalid float literal"#]].assert_eq(&messages.join("\n"));
}

#[test]
fn exported_trace_imports_with_the_same_requests_at_the_requested_speed() {
    let experiment =
        experiment("seconds = 2.0", "[load]\nrate = 100\nhot = { from_s = 0, to_s = 1, part = 0.5 }");
    let plan = Plan::generate(&experiment, 3);
    assert!(plan.requests == Plan::generate(&experiment, 3).requests, "the same seed gives the same plan");
    let mut file = Vec::new();
    trace::export(&plan, &experiment, &mut file).expect("the trace is written");
    let imported = trace::import(&file[..], &experiment, 1.0).expect("the trace is read");
    let summary = |plan: &Plan| -> Vec<(i64, u16, String)> {
        plan.requests
            .iter()
            .map(|request| (request.at, request.category, plan.keys[request.key as usize].clone()))
            .collect()
    };
    assert_eq!(summary(&plan), summary(&imported));
    let faster = trace::import(&file[..], &experiment, 4.0).expect("the trace is read");
    let mut pairs = plan.requests.iter().zip(&faster.requests);
    assert!(pairs.all(|(request, faster)| faster.at == request.at / 4));
    let csv = "time_s,category,key,customer,size\n10.5,read,b,,64\n10,put,a,,\n";
    expect![[r#"
        {"at_us":0,"category":"put","customer":null,"key":"a","size":128}
        {"at_us":500000,"category":"read","customer":null,"key":"b","size":64}
    "#]]
    .assert_eq(&trace::from_csv(csv.as_bytes()).expect("the CSV is read"));
}

#[test]
fn invalid_experiment_is_refused_with_a_remedy() {
    let good =
        "name = \"x\"\nseconds = 2.0\n[[categories]]\nname = \"read\"\ntarget_ms = 100\nttl_ms = 400\n\
                repeats = \"redeliverable\"\n[fleet]\nhosts = 4\n[load]\nrate = 10.0\n";
    Experiment::parse(good).expect("a valid experiment");
    let fault = |lines: &str| format!("{good}[[faults]]\n{lines}\n");
    let bad = [
        good.replace("hosts = 4", "hots = 4"),
        good.replace("seconds = 2.0", "seconds = \"2\""),
        good.replace("redeliverable", "harmless"),
        good.replace("redeliverable", "deduplicated"),
        good.replace("ttl_ms = 400", "ttl_ms = 40"),
        good.replace("hosts = 4", "hosts = 0"),
        good.replace("rate = 10.0", "rate = 10.0\nzipf = nan"),
        good.replace("hosts = 4", "hosts = 3000\n[limits]\nsockets = 9000000"),
        fault("kind = \"hang\"\nhosts = [4]\nfrom_s = 1"),
        fault("kind = \"hang\"\nhosts = 5\nfrom_s = 1"),
        fault("kind = \"hang\"\nfrom_s = 3"),
        fault("kind = \"hang\"\nfrom_s = 1\nbalancer = 0"),
        fault("kind = \"balancer-kill\"\nfrom_s = 1\nbalancer = 2"),
        fault("kind = \"reset\"\nfrom_s = 0.5\nto_s = 1.5\nevery_s = 0.5"),
        fault("kind = \"earthquake\"\nfrom_s = 1"),
    ];
    let messages: Vec<String> = bad
        .iter()
        .map(|text| {
            let cause = Experiment::parse(text).expect_err(text).to_string();
            assert!(!cause.contains('\n'), "not one line: {cause}");
            // The number of allowed descriptors depends on the machine.
            match cause.split_once(" and ") {
                Some((before, after)) if after.contains("are allowed") => {
                    format!("{before} and .. {}", after.split_once(' ').map_or("", |rest| rest.1))
                }
                _ => cause,
            }
        })
        .collect();
    expect![[r#"
        9: unknown field `hots`, expected one of `hosts`, `zones`, `cores`, `speed`, `queue`, `connections`, `idle_ms`, `open_ms`, `connect_timeout_ms`, `store`, `filled`, `report_ms`, `service`
        2: invalid type: string "2", expected f64
        7: unknown variant `harmless`, expected one of `redeliverable`, `deduplicated`, `at-most-once`
         category read is deduplicated: give its window_ms
         category read: target_ms = 100 is not between 1 and 40
         fleet.hosts = 0 is not between 1 and 4000
         load.zipf = NaN is not between 0 and 5
         the run needs up to 18006260 descriptors and .. are allowed: lower hosts, balancers, load.connections or limits.sockets, or raise `ulimit -n`
         fault 1 (Hang): there are only hosts 0 to 3
         fault 1 (Hang): there are only 4 hosts
         fault 1 (Hang): from_s = 3 is not between 0 and 2
         fault 1 (Hang): this kind affects all balancers alike: leave `balancer` out
         fault 1 (BalancerKill): there are only balancers 0 to 1
         fault 1 (Reset): every_s needs to_s and must be longer than the fault lasts
        13: unknown variant `earthquake`, expected one of `slow`, `hang`, `silent`, `late-connect`, `stale`, `stale-reset`, `reset`, `refuse`, `lost`, `busy`, `error`, `spoil`, `die`, `replace`, `drain`, `roll-out`, `grow`, `origin-slow`, `origin-down`, `discovery-down`, `discovery-stale`, `discovery-wrong`, `balancer-kill`, `proxy-delay`, `proxy-drip`, `proxy-cut`, `proxy-copy`, `origin-copy`, `proxy-silence`, `proxy-half-close`, `proxy-reset`, `generator-stop`, `generator-slow`"#]].assert_eq(&messages.join("\n"));
}
