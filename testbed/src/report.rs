//! The result of an experiment: a folder with `runs.jsonl` (a run a line), the experiment's file and `report.html`, one
//! page that needs nothing else.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use plotters::prelude::*;

use crate::compare::{compare, interval, COMPARED};
use crate::figures::Run;

const WIDE: (u32, u32) = (900, 320);
const COLOURS: [RGBColor; 6] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(44, 160, 44),
    RGBColor(148, 103, 189),
    RGBColor(255, 127, 14),
    RGBColor(23, 190, 207),
];

type Arms<'a> = Vec<(&'a str, Vec<&'a Run>)>;

/// Arms in the order in which they were first played.
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

/// A few lines for a terminal.
pub fn summary(runs: &[Run]) -> String {
    let mut out = String::new();
    let _ = writeln!(
        out,
        "{:<18}{:>8}{:>16}{:>9}{:>9}{:>9}{:>10}{:>10}{:>9}{:>9}",
        "arm", "runs", "benefit", "served%", "nacked%", "p50 ms", "p99 ms", "p99.9 ms", "us/op", "breaches"
    );
    for (name, runs) in by_arm(runs) {
        let sound: Vec<&Run> = runs.iter().copied().filter(|run| run.void.is_none()).collect();
        let counted = if sound.is_empty() { &runs } else { &sound };
        let mean =
            |read: &dyn Fn(&Run) -> f64| interval(&counted.iter().map(|run| read(run)).collect::<Vec<f64>>());
        let (benefit, half) = mean(&|run| run.figures.benefit);
        let half = half.map_or(String::new(), |half| format!("±{half:.3}"));
        let part = |count: u64, run: &Run| 100.0 * count as f64 / run.figures.ops.max(1) as f64;
        let breaches: usize = runs.iter().map(|run| run.breaches.len()).sum();
        let _ = writeln!(
            out,
            "{name:<18}{:>8}{:>16}{:>9.2}{:>9.2}{:>9.2}{:>10.2}{:>10.2}{:>9.1}{breaches:>9}",
            format!("{}/{}", sound.len(), runs.len()),
            format!("{benefit:.3}{half}"),
            mean(&|run| part(run.figures.served, run)).0,
            mean(&|run| part(run.figures.nacked, run)).0,
            mean(&|run| run.figures.latency.p50).0,
            mean(&|run| run.figures.latency.p99).0,
            mean(&|run| run.figures.latency.p999).0,
            mean(&|run| run.figures.cpu_us_per_op).0,
        );
    }
    for run in runs.iter().filter(|run| run.void.is_some()) {
        let _ = writeln!(out, "VOID: {} seed {}: {}", run.arm, run.seed, run.void.as_deref().unwrap_or(""));
    }
    for run in runs {
        if let Some(warning) = &run.warning {
            let _ = writeln!(out, "WARNING: {} seed {}: {warning}", run.arm, run.seed);
        }
    }
    for run in runs {
        for breach in run.breaches.iter().take(5) {
            let _ = writeln!(out, "BREACH: {} seed {}: {breach}", run.arm, run.seed);
        }
        if run.breaches.len() > 5 {
            let _ = writeln!(out, "        and {} more, in runs.jsonl", run.breaches.len() - 5);
        }
    }
    out
}

/// The page.
pub fn html(name: &str, about: &str, runs: &[Run]) -> String {
    let arms = by_arm(runs);
    let mut body = String::new();
    let _ = write!(body, "<h1>{}</h1><p>{}</p>", escaped(name), escaped(about));
    let void = runs.iter().filter(|run| run.void.is_some()).count();
    if void > 0 {
        let _ = write!(
            body,
            "<p class=bad>{void} of {} runs are void: see below whose lateness it was.</p>",
            runs.len()
        );
    }
    let _ = write!(body, "<pre>{}</pre>", escaped(&summary(runs)));
    let faults = runs.first().map_or(&[][..], |run| &run.faults);
    body += &plot("Benefit within target latency, by second", "s", faults, |second| second.benefit, &arms);
    body += &plot("99th percentile until the end of an op (ms), by second", "s", faults, |s| s.p99, &arms);
    body += &plot("Nacked ops, by second", "s", faults, |second| second.nacked as f64, &arms);
    body += &percentiles(&arms);
    body += &resources(&arms);
    body += &hosts(&arms);
    body += &counters(&arms);
    if let Some(((first, base), others)) = arms.split_first().filter(|(_, others)| !others.is_empty()) {
        for (other, runs) in others {
            if let Ok((pairs, rows)) = compare(base, runs) {
                let text = crate::compare::written(&rows, pairs);
                let _ = write!(body, "<h2>A: {} against B: {}</h2>", escaped(first), escaped(other));
                let _ = write!(body, "<pre>{}</pre>", escaped(&text));
            }
        }
    }
    body += &breaches(runs);
    format!(
        "<!doctype html><html lang=en><meta charset=utf-8><title>{}</title><style>body{{font:15px/1.45 sans-serif;\
         max-width:940px;margin:2em auto;padding:0 1em}}pre{{overflow:auto;background:#f4f4f4;padding:.6em;font-size:12px}}\
         table{{border-collapse:collapse;font-size:13px}}td,th{{padding:.15em .7em;text-align:right;border-bottom:1px \
         solid #ddd}}.bad{{color:#b00}}</style>{body}</html>",
        escaped(name)
    )
}

type Shade = (String, f64, f64);

/// A figure by second, the mean over the seeds of each arm, with the faults shaded.
fn plot(
    title: &str,
    across: &str,
    faults: &[Shade],
    read: impl Fn(&crate::figures::Second) -> f64,
    arms: &Arms,
) -> String {
    let series: Vec<(&str, Vec<(f64, f64)>)> = arms
        .iter()
        .map(|(name, runs)| {
            let length = runs.iter().map(|run| run.figures.seconds.len()).max().unwrap_or(0);
            let mean = |nth: usize| {
                let there = runs.iter().filter_map(|run| run.figures.seconds.get(nth));
                let values: Vec<f64> = there.map(&read).collect();
                values.iter().sum::<f64>() / values.len().max(1) as f64
            };
            (*name, (0..length).map(|nth| (nth as f64 + 0.5, mean(nth))).collect())
        })
        .collect();
    lines(title, across, faults, &series, None)
}

/// Latency by percentile, the nines evenly spaced.
fn percentiles(arms: &Arms) -> String {
    let series: Vec<(&str, Vec<(f64, f64)>)> = arms
        .iter()
        .map(|(name, runs)| {
            let mut sums: BTreeMap<u64, (f64, f64)> = BTreeMap::new();
            for run in runs {
                for &(percentile, ms) in &run.figures.latency.curve {
                    let sum = sums.entry((percentile * 1e6) as u64).or_default();
                    *sum = (sum.0 + ms, sum.1 + 1.0);
                }
            }
            let nines = |percentile: u64| -(1.0 - percentile as f64 / 1e8).max(1e-6).log10();
            let points = sums.iter().map(|(at, sum)| (nines(*at), sum.0 / sum.1));
            (*name, points.collect())
        })
        .collect();
    let names = ["0%", "90%", "99%", "99.9%", "99.99%", "99.999%"];
    lines("Latency of served ops (ms) by percentile", "percentile", &[], &series, Some(&names))
}

fn lines(
    title: &str,
    across: &str,
    faults: &[Shade],
    series: &[(&str, Vec<(f64, f64)>)],
    names: Option<&[&str]>,
) -> String {
    let mut svg = String::new();
    let points = || series.iter().flat_map(|(_, points)| points.iter());
    let right = points().map(|point| point.0).fold(1.0, f64::max);
    let top = points().map(|point| point.1).fold(0.0, f64::max).max(1e-3) * 1.08;
    let mut drawn = || -> Result<(), Box<dyn std::error::Error>> {
        let area = SVGBackend::with_string(&mut svg, WIDE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(34)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..right, 0.0..top)?;
        for (_, from, to) in faults {
            let to = to.min(right);
            chart.draw_series([Rectangle::new([(*from, 0.0), (to, top)], BLACK.mix(0.07).filled())])?;
        }
        let named = |at: &f64| match names {
            Some(names) if (at - at.round()).abs() < 1e-6 => {
                names.get(at.round() as usize).map_or(String::new(), |name| (*name).to_owned())
            }
            Some(_) => String::new(),
            None => format!("{at:.0}"),
        };
        chart.configure_mesh().x_desc(across).x_label_formatter(&named).light_line_style(WHITE).draw()?;
        for (nth, (name, points)) in series.iter().enumerate() {
            let colour = COLOURS[nth % COLOURS.len()];
            chart
                .draw_series(LineSeries::new(points.iter().copied(), colour.stroke_width(2)))?
                .label(*name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
        }
        for (text, from, _) in faults.iter().take(6) {
            let at = (*from, top * 0.98);
            chart.draw_series([Text::new(
                text.clone(),
                at,
                ("sans-serif", 11).into_font().color(&BLACK.mix(0.6)),
            )])?;
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.2))
            .draw()?;
        area.present()?;
        Ok(())
    };
    match drawn() {
        Ok(()) => svg,
        Err(cause) => format!("<p class=bad>{}: {}</p>", escaped(title), escaped(&cause.to_string())),
    }
}

fn resources(arms: &Arms) -> String {
    let mut out = "<h2>What it took</h2><table><tr><th>arm<th>CPU us an op<th>peak memory kB<th>descriptors\
                   <th>pushes an op<th>origin pushes<th>generator late p99 ms<th>world late ms\
                   <th>bare thread p99 ms<th>new connections a second</tr>"
        .to_owned();
    for (name, runs) in arms {
        let mean = |read: &dyn Fn(&Run) -> f64| {
            runs.iter().map(|run| read(run)).sum::<f64>() / runs.len().max(1) as f64
        };
        let most = |read: &dyn Fn(&crate::balancers::ResourceUsage) -> f64| {
            runs.iter().flat_map(|run| &run.figures.balancers).map(read).fold(0.0, f64::max)
        };
        let _ = write!(
            out,
            "<tr><td>{}<td>{:.1}<td>{:.0}<td>{:.0}<td>{:.3}<td>{:.0}<td>{:.2}<td>{:.1}<td>{:.2}<td>{:.1}</tr>",
            escaped(name),
            mean(&|run| run.figures.cpu_us_per_op),
            most(&|used| used.peak_kb as f64),
            most(&|used| used.descriptors as f64),
            mean(&|run| run.figures.pushes_per_op),
            mean(&|run| run.figures.origin_pushes as f64),
            mean(&|run| run.figures.late_p99_ms),
            mean(&|run| run.figures.world_late_ms),
            mean(&|run| run.figures.bare_p99_ms),
            mean(&|run| run.figures.opened_per_s),
        );
    }
    out + "</table>"
}

/// What each host was sent, ran and turned away, in the first run of each arm.
fn hosts(arms: &Arms) -> String {
    let mut out = "<h2>Hosts</h2>".to_owned();
    for (name, runs) in arms {
        let Some(run) = runs.first() else { continue };
        let _ = write!(
            out,
            "<details><summary>{}, seed {}</summary><table><tr><th>host<th>pushed<th>ran<th>missed<th>turned away</tr>",
            escaped(name),
            run.seed
        );
        for (host, figures) in &run.figures.hosts {
            let _ = write!(
                out,
                "<tr><td>{}<td>{}<td>{}<td>{}<td>{}</tr>",
                escaped(host),
                figures.pushed,
                figures.ran,
                figures.missed,
                figures.turned
            );
        }
        out += "</table></details>";
    }
    out
}

/// What the balancers counted themselves, summed over an arm's runs.
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
        let told: Vec<String> = sums.iter().map(|(name, count)| format!("{name}={count}")).collect();
        let told = escaped(&told.join("\n"));
        let _ =
            write!(out, "<details><summary>Counters: {}</summary><pre>{told}</pre></details>", escaped(name));
    }
    out
}

fn breaches(runs: &[Run]) -> String {
    let mut out = String::new();
    for run in runs.iter().filter(|run| run.in_breach()) {
        let _ = write!(
            out,
            "<h2 class=bad>Rules broken: {}, seed {} ({})</h2>",
            escaped(&run.arm),
            run.seed,
            run.breaches.len()
        );
        for breach in run.breaches.iter().take(20) {
            let around = escaped(&breach.around.join("\n"));
            let what = escaped(&breach.to_string());
            let _ = write!(out, "<details><summary>{what}</summary><pre>{around}</pre></details>");
        }
    }
    out
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// The compared figures of a run by their names, for machines.
pub fn as_json(run: &Run) -> serde_json::Value {
    let figures: serde_json::Map<String, serde_json::Value> =
        COMPARED.iter().map(|(name, _, read)| ((*name).to_owned(), read(run).into())).collect();
    serde_json::json!({
        "experiment": run.experiment, "arm": run.arm, "seed": run.seed, "void": run.void, "warning": run.warning,
        "breaches": run.breaches.len(), "figures": figures,
    })
}
