//! The audit: the four rules, judged from the world's side alone, by every op's id. Pure: it reads a ledger's events.
//!
//! It holds the rules as the operators write them. Where a time is compared, `slack` is allowed on top: what the protocol
//! grants, and the time by which the world's own threads were late.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use crate::balancers::RELEASED_AFTER_KILL;
use crate::ledger::{Answered, Event, HostNo, Id, Standing, What};
use crate::script::{Category, Group, Repeats};
use crate::time::{millis, Micros, SECOND};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Rule {
    /// No op is lost: one final answer in time, the value made for it, nothing sent for it after.
    Answered,
    /// Nothing takes effect twice.
    Once,
    /// Drains are kept.
    Drain,
    /// No cold host is pushed over, nor the origin by misses at cold hosts.
    Cold,
}

impl Rule {
    pub fn number(self) -> u8 {
        self as u8 + 1
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Breach {
    pub rule: Rule,
    pub at_us: Micros,
    pub what: String,
    /// What was noted of the same op, host or balancer around it.
    pub around: Vec<String>,
}

impl std::fmt::Display for Breach {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "rule {} at {:.3} s: {}", self.rule.number(), self.at_us as f64 / 1e6, self.what)
    }
}

pub struct Terms<'a> {
    pub categories: &'a [Category],
    pub zones: u32,
    pub grace: Micros,
    pub slack: Micros,
}

struct Push {
    at: Micros,
    began: Micros,
    host: HostNo,
    /// When it was known not to have run: turned away, or a miss.
    never: Option<Micros>,
    ran: bool,
}

#[derive(Default)]
struct Op {
    asked: Option<(Micros, usize, usize, Micros)>,
    answers: Vec<(Micros, Answered)>,
    left: bool,
    cut: Option<Micros>,
    unanswered: bool,
    pushes: Vec<Push>,
    effects: u32,
}

/// Every breach, in the order of time.
pub fn audit(events: &[Event], terms: &Terms) -> Vec<Breach> {
    let mut ops: BTreeMap<Id, Op> = BTreeMap::new();
    let mut found: Vec<(Rule, Micros, String, Option<Id>)> = Vec::new();
    let mut down: HashMap<usize, Vec<(Micros, bool)>> = HashMap::new();
    let mut drained: HashMap<(usize, HostNo), Micros> = HashMap::new();
    for event in events {
        let at = event.at;
        match &event.what {
            What::Asked { id, balancer, category, until } => {
                ops.entry(*id).or_default().asked = Some((at, *balancer, *category, *until));
            }
            What::Answered { id, answer } => ops.entry(*id).or_default().answers.push((at, *answer)),
            What::Left { id } => ops.entry(*id).or_default().left = true,
            What::Cut { id } => ops.entry(*id).or_default().cut = Some(at),
            What::Unanswered { id } => ops.entry(*id).or_default().unanswered = true,
            What::Stray { balancer } => {
                let what = format!("balancer {balancer} answered where nothing was asked, or a second time");
                found.push((Rule::Answered, at, what, None));
            }
            What::Pushed { id, host, balancer, began } => {
                let push = Push { at, began: *began, host: *host, never: None, ran: false };
                ops.entry(*id).or_default().pushes.push(push);
                let told = drained.get(&(*balancer, *host));
                if let Some(&told) = told.filter(|&&told| *began > told + terms.grace + terms.slack) {
                    let since = (*began - told) as f64 / 1e6;
                    let what =
                        format!("balancer {balancer} sent op {id} to {host} {since:.3} s after its drain");
                    found.push((Rule::Drain, at, what, Some(*id)));
                }
            }
            What::Turned { id, host } | What::Missed { id, host } => {
                let pushes = &mut ops.entry(*id).or_default().pushes;
                let open = pushes.iter_mut().find(|push| push.host == *host && push.open());
                if let Some(push) = open {
                    push.never = Some(at);
                }
            }
            What::Ran { id, host, effect } => {
                let op = ops.entry(*id).or_default();
                if let Some(push) = op.pushes.iter_mut().find(|push| push.host == *host && push.open()) {
                    push.ran = true;
                }
                op.effects += u32::from(*effect);
            }
            What::Told { balancer, host, standing: Standing::Up }
            | What::Due { balancer, host, standing: Standing::Up } => {
                drained.remove(&(*balancer, *host));
            }
            What::Told { balancer, host, .. } | What::Due { balancer, host, .. } => {
                drained.entry((*balancer, *host)).or_insert(at);
            }
            What::Fell { host, cold, by_cold_misses } => {
                if *host == HostNo::ORIGIN && *by_cold_misses {
                    let what = "the origin was pushed over by misses at cold hosts".to_owned();
                    found.push((Rule::Cold, at, what, None));
                } else if *host != HostNo::ORIGIN && *cold {
                    found.push((Rule::Cold, at, format!("{host} was pushed over while it was cold"), None));
                }
            }
            What::Balancer { balancer, up } => {
                down.entry(*balancer).or_default().push((at, *up));
                // A new process has been told nothing yet, but for a list without those that had left.
                drained.retain(|(other, _), _| other != balancer);
            }
            What::Edge { .. } => {}
        }
    }
    let was_killed = |balancer: usize, from: Micros, to: Micros| {
        let edges = down.get(&balancer).map_or(&[][..], Vec::as_slice);
        let killed = |at: &Micros| (from - RELEASED_AFTER_KILL..=to + RELEASED_AFTER_KILL).contains(at);
        edges.iter().any(|(at, up)| !up && killed(at))
    };
    for (id, op) in &ops {
        judge(*id, op, terms, &was_killed, &mut found);
    }
    found.sort_by_key(|&(rule, at, ..)| (at, rule));
    found
        .into_iter()
        .map(|(rule, at, what, id)| Breach { rule, at_us: at, what, around: around(events, at, id) })
        .collect()
}

impl Push {
    fn open(&self) -> bool {
        self.never.is_none() && !self.ran
    }

    /// Whether it was known by then that it had not run.
    fn harmless(&self, by: Micros) -> bool {
        self.never.is_some_and(|never| never <= by)
    }
}

fn judge(
    id: Id,
    op: &Op,
    terms: &Terms,
    was_killed: &dyn Fn(usize, Micros, Micros) -> bool,
    found: &mut Vec<(Rule, Micros, String, Option<Id>)>,
) {
    let mut tell = |rule, at, what: String| found.push((rule, at, what, Some(id)));
    let Some((asked, balancer, category, until)) = op.asked else {
        if let Some(push) = op.pushes.first() {
            // Its last byte may have gone out as the client went away.
            if !op.left && op.cut.is_none() && !op.unanswered {
                tell(Rule::Answered, push.at, format!("{} was sent op {id} that nobody asked", push.host));
            }
        }
        return;
    };
    let Some(category) = terms.categories.get(category) else { return };
    let ms = |span: Micros| span as f64 / 1e3;
    // Rule 1.
    let last = op.answers.first().map(|&(at, _)| at);
    match (last, op.cut) {
        (None, Some(cut)) if !was_killed(balancer, asked, cut) => {
            tell(Rule::Answered, cut, format!("balancer {balancer} ended the connection over op {id}"));
        }
        (None, None) if op.unanswered && !was_killed(balancer, asked, until + SECOND) => {
            tell(Rule::Answered, until, format!("op {id} got no answer from balancer {balancer}"));
        }
        (Some(at), _) if at > until + terms.slack => {
            tell(Rule::Answered, at, format!("op {id} was answered {:.1} ms too late", ms(at - until)));
        }
        _ => {}
    }
    for &(at, answer) in &op.answers {
        let made = op.pushes.iter().any(|push| push.ran && push.at <= at);
        match answer {
            Answered::Served { own: false } => {
                tell(Rule::Answered, at, format!("op {id} was served with a value made for another"));
            }
            Answered::Served { own: true } if !made => {
                tell(Rule::Answered, at, format!("op {id} was served with a value that no host made for it"));
            }
            _ => {}
        }
    }
    // What began after the final answer, or after the op's time.
    let over = last.unwrap_or(until).min(until);
    for push in op.pushes.iter().filter(|push| push.began > over + terms.slack) {
        let late = ms(push.began - over);
        tell(Rule::Answered, push.at, format!("op {id} went to {} {late:.1} ms after its end", push.host));
    }
    // Rule 2.
    let nacked = op.answers.iter().find(|(_, answer)| *answer == Answered::Busy);
    match category.repeats {
        Repeats::Redeliverable => {}
        Repeats::AtMostOnce => {
            for (nth, push) in op.pushes.iter().enumerate().skip(1) {
                if op.pushes[..nth].iter().any(|earlier| !earlier.harmless(push.at)) {
                    let what = format!("at-most-once op {id} was sent to {} again", push.host);
                    tell(Rule::Once, push.at, format!("{what} while an earlier push may have run"));
                }
            }
            if let Some(&(at, _)) = nacked {
                if op.pushes.iter().any(|push| push.at <= at && !push.harmless(at)) {
                    tell(Rule::Once, at, format!("at-most-once op {id} was nacked though it may have run"));
                }
            }
            if op.effects > 1 {
                let at = op.pushes.last().map_or(asked, |push| push.at);
                tell(Rule::Once, at, format!("at-most-once op {id} took effect {} times", op.effects));
            }
        }
        Repeats::Deduplicated => {
            for (nth, push) in op.pushes.iter().enumerate().skip(1) {
                let first = op.pushes[..nth].iter().find(|earlier| !earlier.harmless(push.at));
                let Some(first) = first else { continue };
                if group(category.group, first.host, terms) != group(category.group, push.host, terms) {
                    let (from, to) = (first.host, push.host);
                    let what = format!("deduplicated op {id} left its group: {from}, then {to}");
                    tell(Rule::Once, push.at, what);
                }
                if push.began > first.at + millis(category.window_ms) + terms.slack {
                    tell(Rule::Once, push.at, format!("deduplicated op {id} was sent again past its window"));
                }
            }
            if let Some(&(at, _)) = nacked.filter(|_| category.group != Group::All) {
                if op.pushes.iter().any(|push| push.at <= at && !push.harmless(at)) {
                    let what = format!("deduplicated op {id} was nacked though it may have run in one group");
                    tell(Rule::Once, at, what);
                }
            }
            if op.effects > 1 {
                let at = op.pushes.last().map_or(asked, |push| push.at);
                tell(Rule::Once, at, format!("deduplicated op {id} took effect {} times", op.effects));
            }
        }
    }
}

fn group(group: Group, host: HostNo, terms: &Terms) -> u32 {
    match group {
        Group::All => 0,
        // The origin stands in the first zone.
        Group::Zone if host == HostNo::ORIGIN => 0,
        Group::Zone => host.0 % terms.zones.max(1),
        Group::Cell => host.0,
    }
}

/// The events of the same op, or the edges and falls of the second before.
fn around(events: &[Event], at: Micros, id: Option<Id>) -> Vec<String> {
    const MOST: usize = 24;
    let of = |what: &What| match what {
        What::Asked { id, .. }
        | What::Answered { id, .. }
        | What::Left { id }
        | What::Cut { id }
        | What::Unanswered { id }
        | What::Pushed { id, .. }
        | What::Turned { id, .. }
        | What::Missed { id, .. }
        | What::Ran { id, .. } => Some(*id),
        _ => None,
    };
    let near = |event: &&Event| match (of(&event.what), id) {
        (Some(other), Some(id)) => other == id,
        (None, _) => (at - SECOND..=at + SECOND / 10).contains(&event.at),
        _ => false,
    };
    let line = |event: &Event| format!("{:.6} {:?}", event.at as f64 / 1e6, event.what);
    events.iter().filter(near).take(MOST).map(line).collect()
}
