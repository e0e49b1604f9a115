//! The history of one request, and its checks against rules 1 and 2.

use super::{AuditSettings, Rule};
use crate::experiment::{Category, DeduplicationScope, RetrySafety};
use crate::ledger::{HostNo, Reply, RequestId};
use crate::time::{millis, Micros, MS, SECOND};

/// Attempts may begin until this long after the client has left (from the operators' terms).
const DEPARTURE_GRACE: Micros = 100 * MS;

/// A request as its client sent it.
pub(super) struct SentRequest {
    pub(super) at: Micros,
    pub(super) balancer: usize,
    pub(super) category: usize,
    pub(super) deadline: Micros,
}

/// One attempt of a balancer at a host.
pub(super) struct Attempt {
    /// When the host received its last byte.
    at: Micros,
    /// When the host received its first byte.
    began: Micros,
    host: HostNo,
    /// When the host answered that the attempt did not run: rejected, or the key was missing.
    did_not_run_at: Option<Micros>,
    ran: bool,
}

impl Attempt {
    pub(super) fn new(at: Micros, began: Micros, host: HostNo) -> Attempt {
        Attempt { at, began, host, did_not_run_at: None, ran: false }
    }

    fn is_open(&self) -> bool {
        self.did_not_run_at.is_none() && !self.ran
    }

    /// Whether the host had answered by `by` that the attempt did not run.
    fn known_not_run_by(&self, by: Micros) -> bool {
        self.did_not_run_at.is_some_and(|at| at <= by)
    }
}

/// Everything recorded of one request.
#[derive(Default)]
pub(super) struct RequestHistory {
    pub(super) sent: Option<SentRequest>,
    pub(super) replies: Vec<(Micros, Reply)>,
    pub(super) client_left_at: Option<Micros>,
    /// When the last earlier reply on the connection came, if the request had to wait for one.
    pub(super) next_at: Option<Micros>,
    pub(super) connection_closed_at: Option<Micros>,
    pub(super) unanswered: bool,
    pub(super) attempts: Vec<Attempt>,
    effects: u32,
}

/// A breach of a rule that concerns one request.
pub(super) struct RequestBreach {
    pub(super) rule: Rule,
    pub(super) at: Micros,
    pub(super) what: String,
}

impl RequestHistory {
    pub(super) fn attempt_did_not_run(&mut self, host: HostNo, at: Micros) {
        if let Some(attempt) = self.open_attempt(host) {
            attempt.did_not_run_at = Some(at);
        }
    }

    pub(super) fn attempt_ran(&mut self, host: HostNo, effect: bool) {
        if let Some(attempt) = self.open_attempt(host) {
            attempt.ran = true;
        }
        self.effects += u32::from(effect);
    }

    fn open_attempt(&mut self, host: HostNo) -> Option<&mut Attempt> {
        self.attempts.iter_mut().find(|attempt| attempt.host == host && attempt.is_open())
    }

    /// Returns the breaches of this request. `was_killed` tells whether its balancer was killed
    /// close to a span of time.
    pub(super) fn breaches(
        &self,
        id: RequestId,
        settings: &AuditSettings,
        was_killed: &dyn Fn(Micros, Micros) -> bool,
    ) -> Vec<RequestBreach> {
        let mut breaches = Vec::new();
        let Some(sent) = &self.sent else {
            self.check_unsent(id, &mut breaches);
            return breaches;
        };
        let Some(category) = settings.categories.get(sent.category) else { return breaches };
        let mut checks = RequestChecks { id, request: self, sent, category, settings, breaches };
        checks.check_final_answer(was_killed);
        checks.check_values();
        checks.check_attempts_after_end();
        checks.check_attempts_after_departure();
        match category.retry_safety {
            RetrySafety::Idempotent => {}
            RetrySafety::AtMostOnce => checks.check_at_most_once(),
            RetrySafety::Deduplicated => checks.check_deduplicated(),
        }
        checks.breaches
    }

    fn check_unsent(&self, id: RequestId, breaches: &mut Vec<RequestBreach>) {
        let Some(attempt) = self.attempts.first() else { return };
        // The client may have written the last byte just before it left, without recording that.
        if self.client_left_at.is_none() && self.connection_closed_at.is_none() && !self.unanswered {
            let what = format!("{} was sent op {id} that nobody asked", attempt.host);
            breaches.push(RequestBreach { rule: Rule::Answered, at: attempt.at, what });
        }
    }

    /// The time of its `-BUSY` reply, if there was one.
    fn rejected_at(&self) -> Option<Micros> {
        self.replies.iter().find(|(_, reply)| *reply == Reply::Busy).map(|&(at, _)| at)
    }

    /// Whether, by what was known at `at`, an attempt received until then may have run.
    fn may_have_run_by(&self, at: Micros) -> bool {
        self.attempts.iter().any(|attempt| attempt.at <= at && !attempt.known_not_run_by(at))
    }
}

/// Checks one request that was sent, and collects its breaches.
struct RequestChecks<'a> {
    id: RequestId,
    request: &'a RequestHistory,
    sent: &'a SentRequest,
    category: &'a Category,
    settings: &'a AuditSettings<'a>,
    breaches: Vec<RequestBreach>,
}

impl RequestChecks<'_> {
    fn add(&mut self, rule: Rule, at: Micros, what: String) {
        self.breaches.push(RequestBreach { rule, at, what });
    }

    fn answered_at(&self) -> Option<Micros> {
        self.request.replies.first().map(|&(at, _)| at)
    }

    /// Rule 1: one final answer in time.
    fn check_final_answer(&mut self, was_killed: &dyn Fn(Micros, Micros) -> bool) {
        let SentRequest { at: sent_at, balancer, deadline, .. } = *self.sent;
        let id = self.id;
        let due = self.request.next_at.map_or(deadline, |next_at| next_at.max(deadline));
        match (self.answered_at(), self.request.connection_closed_at) {
            (None, Some(closed_at)) if !was_killed(sent_at, closed_at) => {
                let what = format!("balancer {balancer} ended the connection over op {id}");
                self.add(Rule::Answered, closed_at, what);
            }
            (None, None) if self.request.unanswered && !was_killed(sent_at, deadline + SECOND) => {
                let what = format!("op {id} got no answer from balancer {balancer}");
                self.add(Rule::Answered, deadline, what);
            }
            (Some(at), _) if at > due + self.settings.slack => {
                let what = format!("op {id} was answered {:.1} ms too late", as_ms(at - due));
                self.add(Rule::Answered, at, what);
            }
            _ => {}
        }
    }

    /// Rule 1: a served value was made for this request, by a host that ran an attempt.
    fn check_values(&mut self) {
        let (id, request) = (self.id, self.request);
        for &(at, reply) in &request.replies {
            let made = request.attempts.iter().any(|attempt| attempt.ran && attempt.at <= at);
            match reply {
                Reply::Served { own: false } => {
                    let what = format!("op {id} was served with a value made for another");
                    self.add(Rule::Answered, at, what);
                }
                Reply::Served { own: true } if !made => {
                    let what = format!("op {id} was served with a value that no host made for it");
                    self.add(Rule::Answered, at, what);
                }
                _ => {}
            }
        }
    }

    /// Rule 1: no attempt begins after the final answer or the deadline.
    fn check_attempts_after_end(&mut self) {
        let deadline = self.sent.deadline;
        let end = self.answered_at().unwrap_or(deadline).min(deadline);
        for attempt in &self.request.attempts {
            if attempt.began > end + self.settings.slack {
                let late_ms = as_ms(attempt.began - end);
                let what = format!("op {} went to {} {late_ms:.1} ms after its end", self.id, attempt.host);
                self.add(Rule::Answered, attempt.at, what);
            }
        }
    }

    /// Rule 1: no attempt begins later than [`DEPARTURE_GRACE`] after the client has left.
    fn check_attempts_after_departure(&mut self) {
        let Some(left_at) = self.request.client_left_at else { return };
        for attempt in &self.request.attempts {
            if attempt.began > left_at + DEPARTURE_GRACE + self.settings.slack {
                let late_ms = as_ms(attempt.began - left_at);
                let what =
                    format!("op {} went to {} {late_ms:.1} ms after its client left", self.id, attempt.host);
                self.add(Rule::Answered, attempt.at, what);
            }
        }
    }

    /// Rule 2 for requests that may run at most once.
    fn check_at_most_once(&mut self) {
        let (id, request) = (self.id, self.request);
        for (nth, attempt) in request.attempts.iter().enumerate().skip(1) {
            let mut earlier = request.attempts[..nth].iter();
            if earlier.any(|earlier| !earlier.known_not_run_by(attempt.at)) {
                let what = format!("at-most-once op {id} was sent to {} again", attempt.host);
                self.add(Rule::Once, attempt.at, format!("{what} while an earlier push may have run"));
            }
        }
        if let Some(at) = request.rejected_at().filter(|&at| request.may_have_run_by(at)) {
            self.add(Rule::Once, at, format!("at-most-once op {id} was nacked though it may have run"));
        }
        self.check_effects("at-most-once");
    }

    /// Rule 2 for requests that hosts deduplicate, within a group of hosts and a window of time.
    fn check_deduplicated(&mut self) {
        let (id, request) = (self.id, self.request);
        for (nth, attempt) in request.attempts.iter().enumerate().skip(1) {
            let mut earlier = request.attempts[..nth].iter();
            if let Some(first) = earlier.find(|earlier| !earlier.known_not_run_by(attempt.at)) {
                self.check_deduplicated_retry(first, attempt);
            }
        }
        // If all hosts deduplicate together, a client's retry after `-BUSY` can't take effect
        // twice.
        let rejected_at =
            request.rejected_at().filter(|_| self.category.deduplication_scope != DeduplicationScope::All);
        if let Some(at) = rejected_at.filter(|&at| request.may_have_run_by(at)) {
            let what = format!("deduplicated op {id} was nacked though it may have run in one group");
            self.add(Rule::Once, at, what);
        }
        self.check_effects("deduplicated");
    }

    /// Checks the group and window of a retry that was sent while `first` may have run.
    fn check_deduplicated_retry(&mut self, first: &Attempt, retry: &Attempt) {
        let id = self.id;
        if self.scope_of(first.host) != self.scope_of(retry.host) {
            let what = format!("deduplicated op {id} left its group: {}, then {}", first.host, retry.host);
            self.add(Rule::Once, retry.at, what);
        }
        if retry.began > first.at + millis(self.category.window_ms) + self.settings.slack {
            self.add(Rule::Once, retry.at, format!("deduplicated op {id} was sent again past its window"));
        }
    }

    /// Rule 2: hosts recorded at most one effect of the request.
    fn check_effects(&mut self, safety: &str) {
        let effects = self.request.effects;
        if effects > 1 {
            let at = self.request.attempts.last().map_or(self.sent.at, |attempt| attempt.at);
            self.add(Rule::Once, at, format!("{safety} op {} took effect {effects} times", self.id));
        }
    }

    /// The number of the group of hosts that deduplicate together.
    fn scope_of(&self, host: HostNo) -> u32 {
        match self.category.deduplication_scope {
            DeduplicationScope::All => 0,
            // The origin is in the first zone.
            DeduplicationScope::Zone if host == HostNo::ORIGIN => 0,
            DeduplicationScope::Zone => host.0 % self.settings.zones.max(1),
            DeduplicationScope::Cell => host.0,
        }
    }
}

fn as_ms(span: Micros) -> f64 {
    span as f64 / 1e3
}
