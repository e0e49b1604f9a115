//! The audit: checks the operators' four rules, only by what the emulated world recorded.
//! Does no I/O: it reads the events of a ledger ([`crate::ledger`]).
//!
//! Each comparison with a time limit allows [`AuditSettings::slack`]: the tolerance that the
//! protocol grants, and the time by which the world's own threads were late.

mod request;

use std::collections::{BTreeMap, HashMap};
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::audit::request::{Attempt, RequestHistory, SentRequest};
use crate::balancers::RELEASED_AFTER_KILL;
use crate::experiment::Category;
use crate::ledger::{EndpointStatus, Event, HostNo, Observation, RequestId};
use crate::time::{Micros, SECOND};

/// Upper bound of events kept with a breach; events of the breach's own request are all kept.
const MAX_EVENTS_PER_BREACH: usize = 24;

/// The four rules, in the operators' order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Rule {
    /// No request is lost: each gets one final answer in time, with a value made for it, and no
    /// attempt begins after that.
    Answered,
    /// No write takes effect twice.
    Once,
    /// No attempt goes to a draining host after the grace period.
    Drain,
    /// No host is overloaded while it warms up, nor the origin by misses at such hosts.
    Cold,
}

impl Rule {
    /// The rule's number in the operators' documentation, from 1.
    pub fn number(self) -> u8 {
        self as u8 + 1
    }
}

/// One breach of a rule.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Breach {
    /// The rule that was broken.
    pub rule: Rule,
    /// Time of the breach, in microseconds since the run began.
    pub at_us: Micros,
    /// What happened, in one line.
    pub what: String,
    /// Events of the same request, if the breach concerns one, and events that concern no request,
    /// from 1 s before to 0.1 s after the breach.
    pub around: Vec<String>,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "rule {} at {:.3} s: {}", self.rule.number(), self.at_us as f64 / 1e6, self.what)
    }
}

/// What the audit needs to know of the experiment.
pub struct AuditSettings<'a> {
    /// The experiment's request classes, in the order in which events number them.
    pub categories: &'a [Category],
    /// Number of zones that hosts are spread over.
    pub zones: u32,
    /// How long after a drain's announcement attempts may still begin at the host.
    pub grace: Micros,
    /// Tolerance of each comparison with a time limit.
    pub slack: Micros,
}

/// Returns all breaches, in order of time.
pub fn audit(events: &[Event], settings: &AuditSettings) -> Vec<Breach> {
    let mut history = History::new(settings);
    for event in events {
        history.record(event.at, &event.observation);
    }
    let mut findings = history.into_findings();
    findings.sort_by_key(|finding| (finding.at, finding.rule));
    findings.into_iter().map(|finding| finding.with_events(events)).collect()
}

/// A breach before its events are looked up.
struct Finding {
    rule: Rule,
    at: Micros,
    what: String,
    /// The request that the breach concerns, if it concerns one.
    id: Option<RequestId>,
}

impl Finding {
    fn with_events(self, events: &[Event]) -> Breach {
        let around = events_around(events, self.at, self.id);
        Breach { rule: self.rule, at_us: self.at, what: self.what, around }
    }
}

/// The events that [`Breach::around`] keeps for a breach at this time.
fn events_around(events: &[Event], at: Micros, id: Option<RequestId>) -> Vec<String> {
    let is_related = |event: &&Event| match (event.observation.request_id(), id) {
        (Some(other), Some(id)) => other == id,
        (None, _) => (at - SECOND..=at + SECOND / 10).contains(&event.at),
        _ => false,
    };
    // Events of the request take precedence over others; all stay in order of time.
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

/// What the events read so far tell of the run.
struct History<'a> {
    settings: &'a AuditSettings<'a>,
    requests: BTreeMap<RequestId, RequestHistory>,
    /// The times at which each balancer was killed or ended by itself.
    kills: HashMap<usize, Vec<Micros>>,
    /// The time from which a balancer counts as informed that a host drains.
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
                self.add_finding(Rule::Answered, at, what, None);
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
            Observation::StatusAnnounced { balancer, host, status }
            | Observation::AnnouncementDue { balancer, host, status } => {
                self.record_status(at, *balancer, *host, *status);
            }
            Observation::Overloaded { host, cold, by_cold_misses } => {
                self.record_overload(at, *host, *cold, *by_cold_misses);
            }
            Observation::BalancerProcess { balancer, up } => self.record_balancer_process(at, *balancer, *up),
            Observation::FaultBoundary { .. } => {}
        }
    }

    fn request(&mut self, id: RequestId) -> &mut RequestHistory {
        self.requests.entry(id).or_default()
    }

    fn add_finding(&mut self, rule: Rule, at: Micros, what: String, id: Option<RequestId>) {
        self.findings.push(Finding { rule, at, what, id });
    }

    fn check_drain(&mut self, at: Micros, id: RequestId, host: HostNo, balancer: usize, began: Micros) {
        let Some(&since) = self.drained_since.get(&(balancer, host)) else { return };
        if began > since + self.settings.grace + self.settings.slack {
            let elapsed_s = (began - since) as f64 / 1e6;
            let what = format!("balancer {balancer} sent op {id} to {host} {elapsed_s:.3} s after its drain");
            self.add_finding(Rule::Drain, at, what, Some(id));
        }
    }

    fn record_status(&mut self, at: Micros, balancer: usize, host: HostNo, status: EndpointStatus) {
        match status {
            EndpointStatus::Active => {
                self.drained_since.remove(&(balancer, host));
            }
            EndpointStatus::Leaving | EndpointStatus::Left => {
                self.drained_since.entry((balancer, host)).or_insert(at);
            }
        }
    }

    fn record_overload(&mut self, at: Micros, host: HostNo, cold: bool, by_cold_misses: bool) {
        if host == HostNo::ORIGIN && by_cold_misses {
            let what = "the origin was pushed over by misses at cold hosts".to_owned();
            self.add_finding(Rule::Cold, at, what, None);
        } else if host != HostNo::ORIGIN && cold {
            self.add_finding(Rule::Cold, at, format!("{host} was pushed over while it was cold"), None);
        }
    }

    fn record_balancer_process(&mut self, at: Micros, balancer: usize, up: bool) {
        if !up {
            self.kills.entry(balancer).or_default().push(at);
        }
        // A new process starts from a list of its own, which omits hosts that have left.
        self.drained_since.retain(|(other, _), _| *other != balancer);
    }

    /// Checks each request by its whole history, and returns all findings.
    fn into_findings(mut self) -> Vec<Finding> {
        for (&id, request) in &self.requests {
            let was_killed = |from, to| {
                let balancer = request.sent.as_ref().map(|sent| sent.balancer);
                let kills = balancer.and_then(|balancer| self.kills.get(&balancer));
                let near = from - RELEASED_AFTER_KILL..=to + RELEASED_AFTER_KILL;
                kills.is_some_and(|kills| kills.iter().any(|at| near.contains(at)))
            };
            for breach in request.breaches(id, self.settings, &was_killed) {
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
