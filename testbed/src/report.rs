//! The report of an experiment's result, as text and as a self-contained page. A result folder
//! holds `runs.jsonl` (one run per line), the experiment's file and the page, `report.html`.

mod plot;

use std::collections::BTreeMap;
use std::fmt::Write as _;

use crate::balancers::ResourceUsage;
use crate::compare::{compare, mean_and_half_interval, COMPARED};
use crate::figures::{Run, ShadedFault};

/// The largest number of breaches per run in the summary.
const BREACHES_IN_SUMMARY: usize = 5;
/// The largest number of breaches per run on the page.
const BREACHES_ON_PAGE: usize = 20;

/// Each arm's name with its runs.
pub(crate) type Arms<'a> = Vec<(&'a str, Vec<&'a Run>)>;

/// Groups runs by arm, in the order in which the arms were first played.
pub fn by_arm(runs: &[Run]) -> Arms<'_> {
    let mut arms: Arms = Vec::new();
    for run in runs {
        match arms.iter_mut().find(|arm| arm.0 == run.arm) {
            Some(arm) => arm.1.push(run),
            None => arms.push((&run.arm, vec![run])),
        }
    }
    arms
}

/// The summary of a result for a terminal: a table of the arms, then remarks on runs.
pub fn summary(runs: &[Run]) -> String {
    let mut out = String::new();
    let _ = writeln!(
        out,
        "{:<18}{:>8}{:>16}{:>9}{:>9}{:>9}{:>10}{:>10}{:>9}{:>9}",
        "arm", "runs", "benefit", "served%", "nacked%", "p50 ms", "p99 ms", "p99.9 ms", "us/op", "breaches"
    );
    for (name, runs) in by_arm(runs) {
        let valid: Vec<&Run> = runs.iter().copied().filter(|run| run.void.is_none()).collect();
        let counted = if valid.is_empty() { &runs } else { &valid };
        let mean = |read: &dyn Fn(&Run) -> f64| {
            mean_and_half_interval(&counted.iter().map(|run| read(run)).collect::<Vec<f64>>())
        };
        let (benefit, half) = mean(&|run| run.figures.benefit);
        let half = half.map_or(String::new(), |half| format!("±{half:.3}"));
        let part = |count: u64, run: &Run| 100.0 * count as f64 / run.figures.requests.max(1) as f64;
        let breaches: usize = runs.iter().map(|run| run.breaches.len()).sum();
        let _ = writeln!(
            out,
            "{name:<18}{:>8}{:>16}{:>9.2}{:>9.2}{:>9.2}{:>10.2}{:>10.2}{:>9.1}{breaches:>9}",
            format!("{}/{}", valid.len(), runs.len()),
            format!("{benefit:.3}{half}"),
            mean(&|run| part(run.figures.served, run)).0,
            mean(&|run| part(run.figures.rejected, run)).0,
            mean(&|run| run.figures.latency.p50).0,
            mean(&|run| run.figures.latency.p99).0,
            mean(&|run| run.figures.latency.p999).0,
            mean(&|run| run.figures.cpu_us_per_request).0,
        );
    }
    out + &remarks(runs)
}

/// Remarks on runs: the void ones, warnings and breaches.
fn remarks(runs: &[Run]) -> String {
    let mut out = String::new();
    for run in runs.iter().filter(|run| run.void.is_some()) {
        let _ = writeln!(out, "VOID: {} seed {}: {}", run.arm, run.seed, run.void.as_deref().unwrap_or(""));
    }
    for run in runs {
        if let Some(warning) = &run.warning {
            let _ = writeln!(out, "WARNING: {} seed {}: {warning}", run.arm, run.seed);
        }
    }
    for run in runs {
        for breach in run.breaches.iter().take(BREACHES_IN_SUMMARY) {
            let _ = writeln!(out, "BREACH: {} seed {}: {breach}", run.arm, run.seed);
        }
        if run.breaches.len() > BREACHES_IN_SUMMARY {
            let _ =
                writeln!(out, "        and {} more, in runs.jsonl", run.breaches.len() - BREACHES_IN_SUMMARY);
        }
    }
    out
}

/// The page of a result, as HTML.
pub fn html(name: &str, about: &str, runs: &[Run]) -> String {
    let arms = by_arm(runs);
    let mut body = String::new();
    let _ = write!(body, "<h1>{}</h1><p>{}</p>", escape(name), escape(about));
    let void = runs.iter().filter(|run| run.void.is_some()).count();
    if void > 0 {
        let _ = write!(
            body,
            "<p class=bad>{void} of {} runs are void: see below whether the testbed or the machine was \
             late.</p>",
            runs.len()
        );
    }
    let _ = write!(body, "<pre>{}</pre>", escape(&summary(runs)));
    let faults = runs.first().map_or(&[][..], |run| &run.faults);
    body += &plots(faults, &arms);
    body += &resources(&arms);
    body += &hosts(&arms);
    body += &counters(&arms);
    body += &comparisons(&arms);
    body += &breaches(runs);
    format!(
        "<!doctype html><html lang=en><meta charset=utf-8><title>{}</title>\
         <style>body{{font:15px/1.45 sans-serif;max-width:940px;margin:2em auto;padding:0 1em}}\
         pre{{overflow:auto;background:#f4f4f4;padding:.6em;font-size:12px}}\
         table{{border-collapse:collapse;font-size:13px}}\
         td,th{{padding:.15em .7em;text-align:right;border-bottom:1px solid #ddd}}\
         .bad{{color:#b00}}</style>{body}</html>",
        escape(name)
    )
}

fn plots(faults: &[ShadedFault], arms: &Arms) -> String {
    let benefit = "Earned fraction of the benefit, by second";
    let p99 = "99th percentile of the time until a request ended (ms), by second";
    let rejected = "Rejected requests, by second";
    [
        plot::by_second(benefit, faults, |second| second.benefit, arms),
        plot::by_second(p99, faults, |second| second.p99, arms),
        plot::by_second(rejected, faults, |second| second.rejected as f64, arms),
        plot::percentiles(arms),
    ]
    .concat()
}

/// Comparisons of the first arm with each other arm.
fn comparisons(arms: &Arms) -> String {
    let mut out = String::new();
    let Some(((first, base), others)) = arms.split_first() else { return out };
    for (other, runs) in others {
        if let Ok((pairs, rows)) = compare(base, runs) {
            let text = crate::compare::format_table(&rows, pairs);
            let _ = write!(out, "<h2>A: {} against B: {}</h2>", escape(first), escape(other));
            let _ = write!(out, "<pre>{}</pre>", escape(&text));
        }
    }
    out
}

fn resources(arms: &Arms) -> String {
    let mut out = "<h2>Resources</h2><table><tr><th>arm<th>CPU us per request<th>peak memory kB\
                   <th>descriptors<th>attempts per request<th>attempts at origin\
                   <th>generator late p99 ms<th>world late ms<th>reference thread p99 ms\
                   <th>new connections/s</tr>"
        .to_owned();
    for (name, runs) in arms {
        let mean = |read: &dyn Fn(&Run) -> f64| {
            runs.iter().map(|run| read(run)).sum::<f64>() / runs.len().max(1) as f64
        };
        let max = |read: &dyn Fn(&ResourceUsage) -> f64| {
            runs.iter().flat_map(|run| &run.figures.balancers).map(read).fold(0.0, f64::max)
        };
        let _ = write!(
            out,
            "<tr><td>{}<td>{:.1}<td>{:.0}<td>{:.0}<td>{:.3}<td>{:.0}<td>{:.2}<td>{:.1}<td>{:.2}\
             <td>{:.1}</tr>",
            escape(name),
            mean(&|run| run.figures.cpu_us_per_request),
            max(&|used| used.peak_kb as f64),
            max(&|used| used.descriptors as f64),
            mean(&|run| run.figures.attempts_per_request),
            mean(&|run| run.figures.origin_attempts as f64),
            mean(&|run| run.figures.late_p99_ms),
            mean(&|run| run.figures.world_late_ms),
            mean(&|run| run.figures.reference_p99_ms),
            mean(&|run| run.figures.opened_per_s),
        );
    }
    out + "</table>"
}

/// The counts of attempts at each host, in the first run of each arm.
fn hosts(arms: &Arms) -> String {
    let mut out = "<h2>Hosts</h2>".to_owned();
    for (name, runs) in arms {
        let Some(run) = runs.first() else { continue };
        let _ = write!(
            out,
            "<details><summary>{}, seed {}</summary><table>\
             <tr><th>host<th>attempts<th>executed<th>misses<th>rejected</tr>",
            escape(name),
            run.seed
        );
        for (host, figures) in &run.figures.hosts {
            let _ = write!(
                out,
                "<tr><td>{}<td>{}<td>{}<td>{}<td>{}</tr>",
                escape(host),
                figures.attempts,
                figures.executed,
                figures.misses,
                figures.rejected
            );
        }
        out += "</table></details>";
    }
    out
}

/// The balancers' own counters, summed over an arm's runs.
fn counters(arms: &Arms) -> String {
    let mut out = String::new();
    for (name, runs) in arms {
        let mut sums: BTreeMap<&str, u64> = BTreeMap::new();
        for (name, count) in runs.iter().flat_map(|run| &run.counters) {
            *sums.entry(name).or_default() += count;
        }
        if sums.is_empty() {
            continue;
        }
        let lines: Vec<String> = sums.iter().map(|(name, count)| format!("{name}={count}")).collect();
        let lines = escape(&lines.join("\n"));
        let _ =
            write!(out, "<details><summary>Counters: {}</summary><pre>{lines}</pre></details>", escape(name));
    }
    out
}

fn breaches(runs: &[Run]) -> String {
    let mut out = String::new();
    for run in runs.iter().filter(|run| run.in_breach()) {
        let _ = write!(
            out,
            "<h2 class=bad>Rules broken: {}, seed {} ({})</h2>",
            escape(&run.arm),
            run.seed,
            run.breaches.len()
        );
        for breach in run.breaches.iter().take(BREACHES_ON_PAGE) {
            let around = escape(&breach.around.join("\n"));
            let what = escape(&breach.to_string());
            let _ = write!(out, "<details><summary>{what}</summary><pre>{around}</pre></details>");
        }
    }
    out
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// The compared figures of a run by name, as JSON.
pub fn as_json(run: &Run) -> serde_json::Value {
    let figures: serde_json::Map<String, serde_json::Value> =
        COMPARED.iter().map(|figure| (figure.name.to_owned(), (figure.read)(run).into())).collect();
    serde_json::json!({
        "experiment": run.experiment,
        "arm": run.arm,
        "seed": run.seed,
        "void": run.void,
        "warning": run.warning,
        "breaches": run.breaches.len(),
        "figures": figures,
    })
}
