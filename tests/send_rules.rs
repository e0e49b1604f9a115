//! A property test of the rules for sending, repeating and rejecting. For random events in random
//! order, a model that is independent of the policy checks that all permitted sends and all final
//! answers keep the rules.

mod common;

use std::collections::BTreeMap;

use basaltwood::router::{NewRequest, RequestAction, Router};
use basaltwood::types::*;
use common::*;
use proptest::prelude::*;

const HOSTS: u32 = 4;
/// The deduplication window of the keyed class in these tests.
const DEDUPLICATION_WINDOW: Micros = 1_000 * MS;
/// The longest stall of the process that the policy allows for.
const MAX_PROCESS_STALL: Micros = 150 * MS;

/// An event of the test.
#[derive(Clone, Debug)]
enum Step {
    Request {
        class: u16,
        key: u8,
    },
    /// The n-th attempt that waits for a connection gets one.
    Connected {
        nth: usize,
        client_present: bool,
    },
    /// The n-th attempt that was sent, or that waits for a connection, ends.
    Ended {
        nth: usize,
        outcome: AttemptOutcome,
    },
    Drain {
        host: u32,
    },
    Restart {
        host: u32,
    },
    ClientLeaves {
        nth: usize,
    },
    TimePasses {
        milliseconds: i64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    use AttemptOutcome::*;
    let outcomes = [Succeeded, Error, Rejected, TimedOut, Unreachable, ConnectionLost, ConnectionFault, Miss];
    prop_oneof![
        3 => (0..3u16, any::<u8>()).prop_map(|(class, key)| Step::Request { class, key }),
        4 => (any::<usize>(), prop::bool::weighted(0.9))
            .prop_map(|(nth, client_present)| Step::Connected { nth, client_present }),
        4 => (any::<usize>(), prop::sample::select(outcomes.to_vec()))
            .prop_map(|(nth, outcome)| Step::Ended { nth, outcome }),
        1 => (0..HOSTS).prop_map(|host| Step::Drain { host }),
        1 => (0..HOSTS).prop_map(|host| Step::Restart { host }),
        1 => any::<usize>().prop_map(|nth| Step::ClientLeaves { nth }),
        5 => (0..600i64).prop_map(|milliseconds| Step::TimePasses { milliseconds }),
    ]
}

/// The model of an attempt.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    host: HostId,
    deadline: Micros,
    sent_at: Option<Micros>,
    /// `None` while the attempt is in flight.
    outcome: Option<AttemptOutcome>,
}

impl Attempt {
    fn may_have_run(&self) -> bool {
        self.sent_at.is_some() && !self.outcome.is_some_and(AttemptOutcome::proves_not_run)
    }
}

/// The model of a request.
#[derive(Debug)]
struct Request {
    class: u16,
    attempts: BTreeMap<u32, Attempt>,
    answers: usize,
    client_left: bool,
}

impl Request {
    /// When the first attempt that may have run was sent.
    fn first_run(&self) -> Option<Micros> {
        let runs = self.attempts.values().filter(|attempt| attempt.may_have_run());
        runs.filter_map(|attempt| attempt.sent_at).min()
    }
}

struct Model {
    router: Router,
    now: Micros,
    requests: BTreeMap<RequestId, Request>,
    hosts: Vec<Endpoint>,
}

impl Model {
    fn new() -> Model {
        let mut config = policy_config();
        config.classes[1].retry_safety =
            RetrySafety::IdempotencyKey { scope: DeduplicationScope::All, window: DEDUPLICATION_WINDOW };
        config.classes.iter_mut().for_each(|class| class.late_weight = 1.0);
        let mut router = Router::new(&config, 1_000);
        let hosts: Vec<Endpoint> = (0..HOSTS).map(endpoint).collect();
        router.update_endpoints(0, true, hosts.clone());
        Model { router, now: 0, requests: BTreeMap::new(), hosts }
    }

    fn apply(&mut self, id: RequestId, actions: Vec<RequestAction>) {
        for action in actions {
            let (now, retry_after_max) = (self.now, 400 * MS);
            let request = self.requests.get_mut(&id).expect("the request is open");
            match action {
                RequestAction::StartAttempt { attempt, host, deadline, send_by } => {
                    assert!(send_by <= deadline);
                    let started = Attempt { host, deadline, sent_at: None, outcome: None };
                    assert!(request.attempts.insert(attempt.0, started).is_none());
                }
                RequestAction::Succeed(_) | RequestAction::Fail { .. } => request.answers += 1,
                RequestAction::Reject { retry_after, .. } => {
                    request.answers += 1;
                    let retried_at = now + retry_after.unwrap_or(0).min(retry_after_max);
                    let is_harmless = match (request.class, request.first_run()) {
                        (0, _) | (_, None) => true,
                        (1, Some(first)) => retried_at < first + DEDUPLICATION_WINDOW,
                        _ => false,
                    };
                    assert!(is_harmless, "rejected at {now}: {request:?}");
                }
                RequestAction::CancelAttempt(_) => {}
            }
            assert!(request.answers <= 1, "answered twice: {request:?}");
        }
    }

    fn collect(&mut self) {
        for id in self.router.requests_with_actions() {
            let actions = self.router.take_actions(id);
            self.apply(id, actions);
        }
    }

    /// The n-th attempt in flight that matches a condition; `nth` wraps around.
    fn nth_in_flight(&self, nth: usize, matches: impl Fn(&Attempt) -> bool) -> Option<AttemptKey> {
        let mut found = Vec::new();
        for (&request, open) in &self.requests {
            for (&number, attempt) in &open.attempts {
                if attempt.outcome.is_none() && matches(attempt) {
                    found.push(AttemptKey { request, number: AttemptNumber(number) });
                }
            }
        }
        (!found.is_empty()).then(|| found[nth % found.len()])
    }

    fn attempt(&mut self, key: AttemptKey) -> &mut Attempt {
        let request = self.requests.get_mut(&key.request).expect("the request is open");
        request.attempts.get_mut(&key.number.0).expect("the attempt was started")
    }

    fn ended(&mut self, key: AttemptKey, outcome: AttemptOutcome) {
        self.attempt(key).outcome = Some(outcome);
        let actions = self.router.attempt_ended(self.now, key.request, key.number, outcome);
        self.apply(key.request, actions);
    }

    fn connected(&mut self, key: AttemptKey, client_present: bool) {
        let Attempt { host, deadline, .. } = *self.attempt(key);
        let Ok(permit) = self.router.permit_send(self.now, key, client_present) else {
            return self.ended(key, AttemptOutcome::NotSent);
        };
        let request = &self.requests[&key.request];
        assert!(client_present && !request.client_left && request.answers == 0, "{request:?}");
        assert!(self.now < permit.complete_by() && permit.complete_by() <= deadline);
        assert_eq!((permit.attempt(), permit.host()), (key, host));
        assert_eq!(self.hosts[host.index()].lifecycle, Lifecycle::Up);
        // Even after the longest stall, the request is written inside the deduplication window.
        let written_at = permit.complete_by() + MAX_PROCESS_STALL;
        match (request.class, request.first_run()) {
            (0, _) | (_, None) => {}
            (1, Some(first)) => assert!(written_at <= first + DEDUPLICATION_WINDOW, "{request:?}"),
            _ => panic!("an at-most-once request was sent again: {request:?}"),
        }
        let now = self.now;
        self.attempt(key).sent_at = Some(now);
    }

    fn perform(&mut self, step: Step) {
        match step {
            Step::Request { class, key } => {
                let new = NewRequest {
                    class: RequestClassId(class),
                    tenant: None,
                    key: Some(RingPosition::of(&key.to_string())),
                    is_write: false,
                    is_retry: false,
                    deadline: self.now + 1_900 * MS,
                };
                let (id, actions) = self.router.submit(self.now, new);
                let request = Request { class, attempts: BTreeMap::new(), answers: 0, client_left: false };
                self.requests.insert(id, request);
                self.apply(id, actions);
            }
            Step::Connected { nth, client_present } => {
                if let Some(key) = self.nth_in_flight(nth, |attempt| attempt.sent_at.is_none()) {
                    self.connected(key, client_present);
                }
            }
            Step::Ended { nth, outcome } => {
                // An unsent attempt ends only with an outcome that proves no run, except a miss.
                let proves = outcome.proves_not_run() && outcome != AttemptOutcome::Miss;
                if let Some(key) = self.nth_in_flight(nth, |attempt| attempt.sent_at.is_some() || proves) {
                    self.ended(key, outcome);
                }
            }
            Step::Drain { host } => self.update_host(host, Lifecycle::Draining, None),
            Step::Restart { host } => self.update_host(host, Lifecycle::Up, Some(self.now)),
            Step::ClientLeaves { nth } => {
                let open: Vec<RequestId> = self.requests.keys().copied().collect();
                if let Some(&id) = open.get(nth % open.len().max(1)) {
                    self.requests.get_mut(&id).expect("the request is open").client_left = true;
                    let actions = self.router.client_gone(self.now, id);
                    self.apply(id, actions);
                }
            }
            Step::TimePasses { milliseconds } => {
                self.now += milliseconds * MS;
                self.router.tick(self.now);
            }
        }
        self.collect();
    }

    fn update_host(&mut self, host: u32, lifecycle: Lifecycle, started_at: Option<Micros>) {
        let listed = &mut self.hosts[host as usize];
        // A draining host is listed as up again only with a new start time.
        listed.lifecycle = lifecycle;
        listed.started_at = started_at.or(listed.started_at);
        let change = listed.clone();
        self.router.update_endpoints(self.now, false, vec![change]);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]
    #[test]
    fn permitted_sends_keep_the_rules_in_any_order_of_events(
        steps in prop::collection::vec(step(), 1..120)
    ) {
        let mut model = Model::new();
        steps.into_iter().for_each(|step| model.perform(step));
    }
}
