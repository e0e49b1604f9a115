//! Helpers for tests of decisions: the policy of one balancer, and traces of its actions.

use std::fmt::Write as _;

use basaltwood::policy::Policy;
use basaltwood::types::*;

pub const MS: Micros = 1_000;
pub const READ: RequestClassId = RequestClassId(0);
pub const KEYED: RequestClassId = RequestClassId(1);
pub const ONCE: RequestClassId = RequestClassId(2);

/// Four balancers, and three classes: idempotent, with an idempotency key, and at-most-once.
pub fn policy_config() -> PolicyConfig {
    let class = |priority_weight, retry_safety| RequestClass {
        latency_objective: 800 * MS,
        time_limit: 2_000 * MS,
        priority_weight,
        late_weight: 0.0,
        retry_safety,
    };
    PolicyConfig {
        seed: 7,
        balancers: 4,
        capabilities: Capabilities {
            cache_aside: false,
            polls_discovery: false,
            steady_weights: true,
            max_attempts: 4,
            hedging: true,
            cancellation: true,
            keeps_dropped_hosts: false,
        },
        max_retry_after: Some(2_000 * MS),
        tick: MS,
        over_quota_weight: 0.1,
        tail_objective: None,
        slow_start: SlowStart {
            initial_capacity: 0.25,
            warm_up_time: 10_000 * MS,
            overload_multiple: 3.0,
            overload_window: 3_000 * MS,
        },
        classes: vec![
            class(5.0, RetrySafety::Idempotent),
            class(8.0, RetrySafety::IdempotencyKey { scope: DeduplicationScope::Zone, window: 1_000 * MS }),
            class(10.0, RetrySafety::AtMostOnce),
        ],
        tenants: vec![Tenant { quota_per_s: 8.0 }, Tenant { quota_per_s: 800.0 }],
    }
}

pub fn endpoint(host: u32) -> Endpoint {
    Endpoint {
        host: HostId(host),
        position: RingPosition::of(&format!("host-{host}")),
        origin: false,
        zone: ZoneId(host % 2),
        cell: CellId(host),
        lifecycle: Lifecycle::Up,
        weight: 1.0,
        started_at: None,
    }
}

/// The policy of one balancer with its own clock and request numbers.
pub struct TestBalancer {
    policy: Policy,
    pub now: Micros,
    next: u32,
}

impl TestBalancer {
    pub fn new(config: &PolicyConfig, hosts: Vec<Endpoint>) -> TestBalancer {
        let mut balancer = TestBalancer { policy: Policy::new(config), now: 0, next: 0 };
        balancer.handle(PolicyEvent::Endpoints { complete: true, endpoints: hosts });
        balancer
    }

    /// Handles one event; returns the actions, except for the timers of sweeps.
    pub fn handle(&mut self, event: PolicyEvent) -> Vec<PolicyAction> {
        let mut actions = Vec::new();
        self.policy.handle(self.now, event, &mut actions);
        actions.retain(|action| !matches!(action, PolicyAction::SetTimer { timer: Timer::Sweep, .. }));
        actions
    }

    /// The number of hosts that are suspected, or avoided since their zone is unreachable.
    pub fn ejected(&self) -> usize {
        self.policy.pool_size().ejected
    }

    pub fn learned_limits(&self) -> Vec<LearnedLimit> {
        self.policy.learned_limits()
    }

    pub fn request(&mut self, class: RequestClassId, key: &str) -> (RequestId, Vec<PolicyAction>) {
        self.request_of_tenant(class, key, None)
    }

    pub fn request_of_tenant(
        &mut self,
        class: RequestClassId,
        key: &str,
        tenant: Option<TenantId>,
    ) -> (RequestId, Vec<PolicyAction>) {
        self.request_within(class, key, tenant, 2_000 * MS)
    }

    /// Submits a request whose client waits for `wait`.
    pub fn request_within(
        &mut self,
        class: RequestClassId,
        key: &str,
        tenant: Option<TenantId>,
        wait: Micros,
    ) -> (RequestId, Vec<PolicyAction>) {
        let request = RequestId(self.next);
        self.next += 1;
        let event = PolicyEvent::Request {
            request,
            class,
            tenant,
            key: Some(RingPosition::of(key)),
            is_write: class != READ,
            is_retry: false,
            deadline: self.now + wait,
        };
        (request, self.handle(event))
    }

    /// Reports the end of an attempt; one that succeeded finishes its request.
    pub fn attempt_ended(
        &mut self,
        request: RequestId,
        attempt: u32,
        host: HostId,
        outcome: AttemptOutcome,
        elapsed: Micros,
    ) -> Vec<PolicyAction> {
        self.handle(PolicyEvent::AttemptEnded {
            request,
            attempt: AttemptNumber(attempt),
            host,
            elapsed,
            outcome,
            finished: outcome == AttemptOutcome::Succeeded,
        })
    }

    /// Submits a read that every host it is sent to answers after 100 ms; returns those hosts.
    pub fn serve(&mut self, key: &str) -> Vec<HostId> {
        let (request, actions) = self.request(READ, key);
        self.now += 100 * MS;
        let hosts = attempted(&actions);
        for (attempt, &host) in hosts.iter().enumerate() {
            self.attempt_ended(request, attempt as u32, host, AttemptOutcome::Succeeded, 100 * MS);
        }
        hosts
    }

    /// Advances the time, with a sweep every 50 ms; returns the actions of the sweeps.
    pub fn advance(&mut self, span: Micros) -> Vec<PolicyAction> {
        let until = self.now + span;
        let mut actions = Vec::new();
        while self.now + 50 * MS <= until {
            self.now += 50 * MS;
            actions.extend(self.handle(PolicyEvent::TimerFired(Timer::Sweep)));
        }
        self.now = until;
        actions
    }
}

pub fn attempted(actions: &[PolicyAction]) -> Vec<HostId> {
    let host = |action: &PolicyAction| match action {
        PolicyAction::StartAttempt { host, .. } => Some(*host),
        _ => None,
    };
    actions.iter().filter_map(host).collect()
}

/// The actions as one line of text.
pub fn trace(actions: &[PolicyAction]) -> String {
    let mut text = String::new();
    for action in actions {
        let gap = if text.is_empty() { "" } else { "; " };
        let _ = match action {
            PolicyAction::StartAttempt { host, timeout, .. } => {
                write!(text, "{gap}attempt h{} for {}", host.0, timeout / MS)
            }
            PolicyAction::Reject { retry_after, .. } => {
                write!(text, "{gap}reject, retry after {}", retry_after.map_or(0, |span| span / MS))
            }
            PolicyAction::Fail { .. } => write!(text, "{gap}fail"),
            PolicyAction::CancelAttempt { attempt, .. } => write!(text, "{gap}cancel {}", attempt.0),
            PolicyAction::SetTimer { timer, .. } => write!(text, "{gap}timer {timer:?}"),
            PolicyAction::WatchDiscovery => write!(text, "{gap}watch"),
        };
    }
    if text.is_empty() {
        text.push_str("nothing");
    }
    text
}

/// A balancer, one of four, in front of `hosts` hosts.
pub fn balancer(hosts: u32) -> TestBalancer {
    TestBalancer::new(&policy_config(), (0..hosts).map(endpoint).collect())
}

/// The keys `key-0`, `key-1` and so on.
pub fn keys(count: u32) -> Vec<String> {
    (0..count).map(|key| format!("key-{key}")).collect()
}

/// The hosts that serve reads of the first `count` keys.
pub fn homes(balancer: &mut TestBalancer, count: u32) -> Vec<HostId> {
    keys(count).iter().map(|key| balancer.serve(key)[0]).collect()
}

/// One of `balancers` that share the hosts; each of hundreds of balancers sees little traffic.
pub fn one_of_many(balancers: u32, hosts: u32) -> TestBalancer {
    TestBalancer::new(&PolicyConfig { balancers, ..policy_config() }, (0..hosts).map(endpoint).collect())
}
