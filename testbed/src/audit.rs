//! The audit: the four rules, judged from the side of the emulated world alone, request by request.
//! Pure: it reads the events of a ledger ([`crate::ledger`]).
//!
//! It holds the rules as the operators write them. Where a time is compared,
//! [`AuditSettings::slack`] is allowed on top: what the protocol grants, and the time by which the
//! world's own threads were late.

mod request;

use std::collections::{BTreeMap, HashMap};
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::audit::request::{Attempt, RequestHistory, SentRequest};
use crate::balancers::RELEASED_AFTER_KILL;
use crate::experiment::Category;
use crate::ledger::{EndpointStatus, Event, HostNo, Observation, RequestId};
use crate::time::{Micros, SECOND};

/// At most so many events are kept with a breach.
const MAX_EVENTS_PER_BREACH: usize = 24;

/// The four rules, in the operators' order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Rule {
    /// No request is lost: one final answer in time, the value made for it, nothing sent for it
    /// after.
    Answered,
    /// Nothing takes effect twice.
    Once,
    /// Drains are kept.
    Drain,
    /// No host that warms up is overloaded, nor the origin by misses at such hosts.
    Cold,
}

impl Rule {
    /// The rule's number on the operators' pages, from 1.
    pub fn number(self) -> u8 {
        self as u8 + 1
    }
}

/// One breach of a rule.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Breach {
    /// The rule that was broken.
    pub rule: Rule,
    /// When, in microseconds since the run began.
    pub at_us: Micros,
    /// What happened, in one line.
    pub what: String,
    /// What was recorded of the same request, or of the second before where it is about none.
    pub around: Vec<String>,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "rule {} at {:.3} s: {}", self.rule.number(), self.at_us as f64 / 1e6, self.what)
    }
}

/// What the audit has to know of the experiment.
pub struct AuditSettings<'a> {
    /// The experiment's request classes, in the order in which events number them.
    pub categories: &'a [Category],
    /// How many zones hosts are spread over.
    pub zones: u32,
    /// How long after a drain's announcement attempts may still begin at the host.
    pub grace: Micros,
    /// What is allowed on top of each time that is compared.
    pub slack: Micros,
}

/// Every breach, in the order of time.
pub fn audit(events: &[Event], settings: &AuditSettings) -> Vec<Breach> {
    let mut history = History::new(settings);
    for event in events {
        history.record(event.at, &event.observation);
    }
    let mut findings = history.judge();
    findings.sort_by_key(|finding| (finding.at, finding.rule));
    findings.into_iter().map(|finding| finding.with_events(events)).collect()
}

/// A breach before its events are looked up.
struct Finding {
    rule: Rule,
    at: Micros,
    what: String,
    /// The request that it is about, where it is about one.
    id: Option<RequestId>,
}

impl Finding {
    fn with_events(self, events: &[Event]) -> Breach {
        let around = events_around(events, self.at, self.id);
        Breach { rule: self.rule, at_us: self.at, what: self.what, around }
    }
}

/// The events of the same request, or those about none from the second before.
fn events_around(events: &[Event], at: Micros, id: Option<RequestId>) -> Vec<String> {
    let is_related = |event: &&Event| match (event.observation.request_id(), id) {
        (Some(other), Some(id)) => other == id,
        (None, _) => (at - SECOND..=at + SECOND / 10).contains(&event.at),
        _ => false,
    };
    // Its own events are kept before others, in the order of time all the same.
    let is_own = |event: &&Event| id.is_some() && event.observation.request_id() == id;
    let own = events.iter().filter(is_own).count();
    let mut others_left = MAX_EVENTS_PER_BREACH.saturating_sub(own);
    let mut is_kept = |event: &&Event| {
        if is_own(event) {
            return true;
        }
        others_left = others_left.saturating_sub(1);
        others_left > 0
    };
    let line = |event: &Event| format!("{:.6} {}", event.at as f64 / 1e6, event.observation);
    let kept = events.iter().filter(is_related).filter(|event| is_kept(event));
    kept.map(line).collect()
}

/// What is known of the run up to an event.
struct History<'a> {
    settings: &'a AuditSettings<'a>,
    requests: BTreeMap<RequestId, RequestHistory>,
    /// When each balancer was killed.
    kills: HashMap<usize, Vec<Micros>>,
    /// Since when a balancer counts as informed that a host drains.
    drained_since: HashMap<(usize, HostNo), Micros>,
    findings: Vec<Finding>,
}

impl<'a> History<'a> {
    fn new(settings: &'a AuditSettings<'a>) -> History<'a> {
        History {
            settings,
            requests: BTreeMap::new(),
            kills: HashMap::new(),
            drained_since: HashMap::new(),
            findings: Vec::new(),
        }
    }

    fn record(&mut self, at: Micros, observation: &Observation) {
        match observation {
            Observation::RequestSent { id, balancer, category, until } => {
                let sent = SentRequest { at, balancer: *balancer, category: *category, deadline: *until };
                self.request(*id).sent = Some(sent);
            }
            Observation::ReplyReceived { id, answer } => self.request(*id).replies.push((at, *answer)),
            Observation::ClientLeft { id } => self.request(*id).client_left_at = Some(at),
            Observation::ReplyIsNext { id } => self.request(*id).next_at = Some(at),
            Observation::ConnectionClosed { id } => self.request(*id).connection_closed_at = Some(at),
            Observation::Unanswered { id } => self.request(*id).unanswered = true,
            Observation::UnsolicitedReply { balancer } => {
                let what = format!("balancer {balancer} answered where nothing was asked, or a second time");
                self.find(Rule::Answered, at, what, None);
            }
            Observation::AttemptReceived { id, host, balancer, began } => {
                let attempt = Attempt::new(at, *began, *host);
                self.request(*id).attempts.push(attempt);
                self.check_drain(at, *id, *host, *balancer, *began);
            }
            Observation::AttemptRejected { id, host } | Observation::KeyMissing { id, host } => {
                self.request(*id).attempt_did_not_run(*host, at);
            }
            Observation::Executed { id, host, effect } => self.request(*id).attempt_ran(*host, *effect),
            Observation::StatusAnnounced { balancer, host, standing }
            | Observation::AnnouncementDue { balancer, host, standing } => {
                self.announced(at, *balancer, *host, *standing);
            }
            Observation::Overloaded { host, cold, by_cold_misses } => {
                self.overloaded(at, *host, *cold, *by_cold_misses);
            }
            Observation::BalancerProcess { balancer, up } => self.balancer_process(at, *balancer, *up),
            Observation::FaultBoundary { .. } => {}
        }
    }

    fn request(&mut self, id: RequestId) -> &mut RequestHistory {
        self.requests.entry(id).or_default()
    }

    fn find(&mut self, rule: Rule, at: Micros, what: String, id: Option<RequestId>) {
        self.findings.push(Finding { rule, at, what, id });
    }

    fn check_drain(&mut self, at: Micros, id: RequestId, host: HostNo, balancer: usize, began: Micros) {
        let Some(&since) = self.drained_since.get(&(balancer, host)) else { return };
        if began > since + self.settings.grace + self.settings.slack {
            let elapsed_s = (began - since) as f64 / 1e6;
            let what = format!("balancer {balancer} sent op {id} to {host} {elapsed_s:.3} s after its drain");
            self.find(Rule::Drain, at, what, Some(id));
        }
    }

    fn announced(&mut self, at: Micros, balancer: usize, host: HostNo, status: EndpointStatus) {
        match status {
            EndpointStatus::Active => {
                self.drained_since.remove(&(balancer, host));
            }
            EndpointStatus::Leaving | EndpointStatus::Left => {
                self.drained_since.entry((balancer, host)).or_insert(at);
            }
        }
    }

    fn overloaded(&mut self, at: Micros, host: HostNo, cold: bool, by_cold_misses: bool) {
        if host == HostNo::ORIGIN && by_cold_misses {
            let what = "the origin was pushed over by misses at cold hosts".to_owned();
            self.find(Rule::Cold, at, what, None);
        } else if host != HostNo::ORIGIN && cold {
            self.find(Rule::Cold, at, format!("{host} was pushed over while it was cold"), None);
        }
    }

    fn balancer_process(&mut self, at: Micros, balancer: usize, up: bool) {
        if !up {
            self.kills.entry(balancer).or_default().push(at);
        }
        // A new process knows nothing yet but a list without those that had left.
        self.drained_since.retain(|(other, _), _| *other != balancer);
    }

    /// Judges each request by all that was seen of it.
    fn judge(mut self) -> Vec<Finding> {
        for (&id, request) in &self.requests {
            let was_killed = |from, to| {
                let balancer = request.sent.as_ref().map(|sent| sent.balancer);
                let kills = balancer.and_then(|balancer| self.kills.get(&balancer));
                let near = from - RELEASED_AFTER_KILL..=to + RELEASED_AFTER_KILL;
                kills.is_some_and(|kills| kills.iter().any(|at| near.contains(at)))
            };
            for breach in request.judge(id, self.settings, &was_killed) {
                self.findings.push(Finding {
                    rule: breach.rule,
                    at: breach.at,
                    what: breach.what,
                    id: Some(id),
                });
            }
        }
        self.findings
    }
}
