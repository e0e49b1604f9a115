//! Scenarios run against the pools and traced step by step: the result of each checkout, whose
//! fault a failure was, which actions the pools request.

use basaltwood::types::{HostId, Micros};
use basaltwood_connection_pool::{
    Checkout, ConnectFailure, ConnectionId, ConnectionPools, Fault, PoolConfig,
};
use expect_test::{expect, Expect};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;

/// Pools, a clock that the test advances, and a trace of the steps.
struct Scenario {
    pools: ConnectionPools,
    now: Micros,
    trace: String,
}

impl Scenario {
    /// Pools whose connections need no rest, which most scenarios are not about.
    fn new(balancers: u32, max_connections: usize) -> Scenario {
        Scenario::with_rest(0, balancers, max_connections)
    }

    fn with_rest(rest: Micros, balancers: u32, max_connections: usize) -> Scenario {
        let config = PoolConfig {
            seed: 7,
            balancers,
            idle_timeout: 15 * SECOND,
            rest_after_response: rest,
            max_connections,
        };
        let mut scenario = Scenario { pools: ConnectionPools::new(config), now: 0, trace: String::new() };
        scenario.pools.tick(0);
        scenario
    }

    /// Traces a step and the actions that it led to.
    fn record(&mut self, step: &str) {
        let actions = self.pools.take_actions();
        let actions: Vec<String> = actions.iter().map(|action| format!("{action:?}")).collect();
        let arrow = if actions.is_empty() { "" } else { " -> " };
        self.trace += &format!("{:<6}{step}{arrow}{}\n", self.now / MS, actions.join(", "));
    }

    /// Advances the clock with a tick every 50 ms, and traces the actions of each tick.
    fn advance(&mut self, duration: Micros) {
        let until = self.now + duration;
        while self.now < until {
            self.now = (self.now + 50 * MS).min(until);
            self.pools.tick(self.now);
            let actions = self.pools.take_actions();
            if !actions.is_empty() {
                self.trace += &format!("{:<6}{actions:?}\n", self.now / MS);
            }
        }
    }

    /// Sends a request on the connection that a checkout gives, and returns that connection.
    fn send(&mut self, host: u32) -> ConnectionId {
        let checkout = self.pools.checkout(self.now, HostId(host));
        let connection = match checkout {
            Checkout::Reuse(connection) => connection,
            Checkout::Open(connection) => {
                self.pools.connected(connection);
                connection
            }
            other => panic!("expected a connection, got {other:?}"),
        };
        self.pools.request_sent(self.now, connection);
        self.record(&format!("h{host} {checkout:?}"));
        connection
    }

    /// Sends a request that is answered after 5 ms.
    fn exchange(&mut self, host: u32) -> ConnectionId {
        let connection = self.send(host);
        self.now += 5 * MS;
        self.pools.answered(self.now, connection, true);
        connection
    }

    /// The connection ends during its request.
    fn lose(&mut self, connection: ConnectionId) {
        let fault = self.pools.connection_lost(self.now, connection);
        self.record_failure("lost", connection, fault);
    }

    /// The attempt on the connection times out.
    fn time_out(&mut self, connection: ConnectionId) {
        let verdict = self.pools.attempt_timed_out(self.now, connection);
        self.record_failure("timed out", connection, verdict.fault);
    }

    fn record_failure(&mut self, failure: &str, connection: ConnectionId, fault: Fault) {
        let state = self.pools.state(connection);
        self.record(&format!("{failure} {connection:?}: {fault:?} at fault, {state:?}"));
    }

    /// Answers the requests on all of these connections, which become idle.
    fn answer_all(&mut self, connections: &[ConnectionId]) {
        for &connection in connections {
            self.pools.answered(self.now, connection, true);
        }
    }

    /// Makes one exchange with each of these hosts.
    fn exchange_with(&mut self, hosts: std::ops::Range<u32>) {
        for host in hosts {
            self.exchange(host);
        }
    }

    /// Compares the trace and the pools' counters with what is expected.
    fn assert_trace(mut self, expected: Expect) {
        let mut stats = self.pools.stats().to_string();
        // The counters of connections, attempts and connects each get a line.
        for group in [" attempts_in_doubt", " connects_throttled"] {
            stats = stats.replace(group, &group.replace(' ', "\n"));
        }
        self.trace += &stats;
        expected.assert_eq(&self.trace);
    }
}

/// Guards against a copy of a response that is taken for the response to the next request: on a
/// connection that rests, the copy is found before the next request is written.
#[test]
fn connection_carries_no_request_while_it_rests_after_a_response() {
    let mut scenario = Scenario::with_rest(100 * MS, 2, 300);
    scenario.exchange(0);
    for _ in 0..5 {
        scenario.advance(22 * MS);
        let checkout = scenario.pools.checkout(scenario.now, HostId(0));
        scenario.record(&format!("h0 {checkout:?}"));
        if let Checkout::Open(connection) = checkout {
            scenario.pools.abandoned(connection);
        }
    }

    scenario.assert_trace(expect![[r#"
        0     h0 Open(ConnectionId(0))
        27    h0 Open(ConnectionId(1))
        49    h0 Open(ConnectionId(2))
        71    h0 Open(ConnectionId(3))
        93    h0 Open(ConnectionId(4))
        115   h0 Reuse(ConnectionId(0))
        connections_presumed_stale=0 connections_surplus_closed=0 connection_faults=0
        attempts_in_doubt=0 late_responses=0
        connects_throttled=0 connects_circuit_open=0 connects_exhausted=0 process_stalls=0"#]]);
}

/// Guards against a healthy host being taken for a hung one because its idle connections have all died without
/// notice: one request after the other would wait on them, and with every host so, all are ejected.
#[test]
fn host_silent_on_reused_connections_is_tested_on_a_new_one() {
    let mut scenario = Scenario::new(2, 300);
    let three: Vec<ConnectionId> = (0..3).map(|_| scenario.send(0)).collect();
    scenario.now += 5 * MS;
    scenario.answer_all(&three);
    scenario.advance(300 * MS);

    // A request that has just been sent is no sign; one that is overdue is, and one new connection is enough.
    scenario.send(0);
    scenario.now += 10 * MS;
    scenario.send(0);
    scenario.now += 30 * MS;
    let tested = scenario.send(0);
    scenario.now += 2 * MS;
    scenario.send(0);
    scenario.now += 3 * MS;
    scenario.pools.answered(scenario.now, tested, true);
    // The host answers: its connections may be used again.
    scenario.advance(100 * MS);
    scenario.send(0);

    scenario.assert_trace(expect![[r#"
        0     h0 Open(ConnectionId(0))
        0     h0 Open(ConnectionId(1))
        0     h0 Open(ConnectionId(2))
        305   h0 Reuse(ConnectionId(2))
        315   h0 Reuse(ConnectionId(1))
        345   h0 Open(ConnectionId(3))
        347   h0 Reuse(ConnectionId(0))
        450   h0 Reuse(ConnectionId(3))
        connections_presumed_stale=0 connections_surplus_closed=0 connection_faults=0
        attempts_in_doubt=0 late_responses=0
        connects_throttled=0 connects_circuit_open=0 connects_exhausted=0 process_stalls=0"#]]);
}

#[test]
fn two_stale_connections_in_a_row_close_idle_ones_as_old_and_spare_the_host() {
    let mut scenario = Scenario::new(2, 300);

    // Three connections are used at the same time, then become idle.
    let three: Vec<ConnectionId> = (0..3).map(|_| scenario.send(0)).collect();
    scenario.now += 5 * MS;
    scenario.answer_all(&three);
    scenario.advance(600 * MS);

    // One loss may be chance; the second also closes the third connection, so the next is new.
    for _ in 0..2 {
        let used = scenario.send(0);
        scenario.now += MS;
        scenario.lose(used);
    }
    scenario.exchange(0);

    // Connections are not reused at the age at which they were stale, until that is forgotten after
    // 30 s.
    scenario.advance(700 * MS);
    scenario.exchange(0);
    scenario.advance(30 * SECOND);
    scenario.exchange(0);
    scenario.advance(700 * MS);
    scenario.exchange(0);

    scenario.assert_trace(expect![[r#"
        0     h0 Open(ConnectionId(0))
        0     h0 Open(ConnectionId(1))
        0     h0 Open(ConnectionId(2))
        605   h0 Reuse(ConnectionId(2))
        606   lost ConnectionId(2): Connection at fault, Closed
        606   h0 Reuse(ConnectionId(1))
        607   lost ConnectionId(1): Connection at fault, Closed -> Close(ConnectionId(0))
        607   h0 Open(ConnectionId(3))
        912   [Close(ConnectionId(3))]
        1312  h0 Open(ConnectionId(4))
        1617  [Close(ConnectionId(4))]
        31317 h0 Open(ConnectionId(5))
        32022 h0 Reuse(ConnectionId(5))
        connections_presumed_stale=3 connections_surplus_closed=0 connection_faults=2
        attempts_in_doubt=0 late_responses=0
        connects_throttled=0 connects_circuit_open=0 connects_exhausted=0 process_stalls=0"#]]);
}

#[test]
fn stale_connections_of_three_hosts_at_once_close_idle_ones_of_all_hosts() {
    let mut scenario = Scenario::new(2, 300);
    scenario.exchange_with(0..5);
    scenario.advance(900 * MS);
    let three = [scenario.send(0), scenario.send(1), scenario.send(2)];
    scenario.now += MS;
    for connection in three {
        scenario.lose(connection);
    }

    // Hosts 3 and 4 lost no connection, but get new ones too.
    scenario.exchange(3);
    scenario.exchange(4);

    scenario.assert_trace(expect![[r#"
        0     h0 Open(ConnectionId(0))
        5     h1 Open(ConnectionId(1))
        10    h2 Open(ConnectionId(2))
        15    h3 Open(ConnectionId(3))
        20    h4 Open(ConnectionId(4))
        925   h0 Reuse(ConnectionId(0))
        925   h1 Reuse(ConnectionId(1))
        925   h2 Reuse(ConnectionId(2))
        926   lost ConnectionId(0): Connection at fault, Closed
        926   lost ConnectionId(1): Connection at fault, Closed
        926   lost ConnectionId(2): Connection at fault, Closed -> Close(ConnectionId(3)), Close(ConnectionId(4))
        926   h3 Open(ConnectionId(5))
        931   h4 Open(ConnectionId(6))
        connections_presumed_stale=2 connections_surplus_closed=0 connection_faults=3
        attempts_in_doubt=0 late_responses=0
        connects_throttled=0 connects_circuit_open=0 connects_exhausted=0 process_stalls=0"#]]);
}

#[test]
fn good_reuse_sent_at_the_first_fault_does_not_spare_other_hosts() {
    let mut scenario = Scenario::new(2, 300);
    scenario.exchange_with(0..5);
    scenario.advance(900 * MS);
    let dead = [scenario.send(0), scenario.send(1), scenario.send(2)];
    scenario.now += MS;
    scenario.lose(dead[0]);
    scenario.exchange(3);
    scenario.lose(dead[1]);
    scenario.lose(dead[2]);
    scenario.exchange(4);

    scenario.assert_trace(expect![[r#"
        0     h0 Open(ConnectionId(0))
        5     h1 Open(ConnectionId(1))
        10    h2 Open(ConnectionId(2))
        15    h3 Open(ConnectionId(3))
        20    h4 Open(ConnectionId(4))
        925   h0 Reuse(ConnectionId(0))
        925   h1 Reuse(ConnectionId(1))
        925   h2 Reuse(ConnectionId(2))
        926   lost ConnectionId(0): Connection at fault, Closed
        926   h3 Reuse(ConnectionId(3))
        931   lost ConnectionId(1): Connection at fault, Closed
        931   lost ConnectionId(2): Connection at fault, Closed -> Close(ConnectionId(4))
        931   h4 Open(ConnectionId(5))
        connections_presumed_stale=1 connections_surplus_closed=0 connection_faults=3
        attempts_in_doubt=0 late_responses=0
        connects_throttled=0 connects_circuit_open=0 connects_exhausted=0 process_stalls=0"#]]);
}

#[test]
fn timeout_is_judged_by_other_responses_of_the_host() {
    let mut scenario = Scenario::new(2, 300);
    let unanswered = scenario.send(0);
    for _ in 0..4 {
        scenario.now += 2 * MS;
        scenario.exchange(0);
    }
    scenario.advance(50 * MS);
    scenario.time_out(unanswered);

    // No request is answered: the host is at fault, and after the third timeout a late response is
    // awaited.
    let all: Vec<ConnectionId> = (0..3).map(|_| scenario.send(0)).collect();
    scenario.advance(300 * MS);
    for &connection in &all {
        scenario.time_out(connection);
    }
    scenario.advance(100 * MS);

    // A late response on a connection from before the silence: the host is alive and was not
    // restarted.
    let kept = scenario.pools.late_response(scenario.now, all[2], true);
    scenario.record(&format!("late whole response, kept {kept}"));
    scenario.exchange(0);
    scenario.now += MS;
    let slow = scenario.send(0);
    scenario.advance(300 * MS);
    scenario.time_out(slow);
    let kept = scenario.pools.late_response(scenario.now, slow, false);
    scenario.record(&format!("late malformed response, kept {kept}"));
    scenario.exchange(0);

    scenario.assert_trace(expect![[r#"
        0     h0 Open(ConnectionId(0))
        2     h0 Open(ConnectionId(1))
        9     h0 Reuse(ConnectionId(1))
        16    h0 Reuse(ConnectionId(1))
        23    h0 Reuse(ConnectionId(1))
        78    [AttemptInDoubt(ConnectionId(0))]
        78    timed out ConnectionId(0): Connection at fault, AwaitingLateResponse
        78    h0 Reuse(ConnectionId(1))
        78    h0 Open(ConnectionId(2))
        78    h0 Open(ConnectionId(3))
        378   timed out ConnectionId(1): Host at fault, Closed
        378   timed out ConnectionId(2): Host at fault, Closed
        378   timed out ConnectionId(3): Host at fault, AwaitingLateResponse
        478   late whole response, kept true -> HostAlive(HostId(0))
        478   h0 Reuse(ConnectionId(3))
        484   h0 Reuse(ConnectionId(3))
        784   timed out ConnectionId(3): Host at fault, Closed
        784   late malformed response, kept false
        784   h0 Open(ConnectionId(4))
        connections_presumed_stale=0 connections_surplus_closed=0 connection_faults=0
        attempts_in_doubt=1 late_responses=1
        connects_throttled=0 connects_circuit_open=0 connects_exhausted=0 process_stalls=0"#]]);
}

#[test]
fn new_connection_whose_first_attempt_timed_out_is_reused_after_its_late_response() {
    let mut scenario = Scenario::new(2, 300);
    let first = scenario.send(0);
    scenario.now += 2 * MS;
    scenario.exchange(0);
    scenario.advance(50 * MS);
    scenario.time_out(first);
    scenario.advance(50 * MS);

    // The host answered other requests meanwhile, so it is not reported as alive again.
    let kept = scenario.pools.late_response(scenario.now, first, true);
    scenario.record(&format!("late whole response, kept {kept}"));
    scenario.send(0);

    // The timeout of a warm connection is due to its slow host; awaiting a late response would have
    // the host do work that nobody needs.
    scenario.now += MS;
    scenario.exchange(0);
    scenario.advance(50 * MS);
    scenario.time_out(first);

    scenario.assert_trace(expect![[r#"
        0     h0 Open(ConnectionId(0))
        2     h0 Open(ConnectionId(1))
        57    timed out ConnectionId(0): Connection at fault, AwaitingLateResponse
        107   late whole response, kept true
        107   h0 Reuse(ConnectionId(0))
        108   h0 Reuse(ConnectionId(1))
        163   timed out ConnectionId(0): Connection at fault, Closed
        connections_presumed_stale=0 connections_surplus_closed=0 connection_faults=0
        attempts_in_doubt=0 late_responses=1
        connects_throttled=0 connects_circuit_open=0 connects_exhausted=0 process_stalls=0"#]]);
}

#[test]
fn host_that_refuses_connections_is_probed_with_growing_backoff() {
    let mut scenario = Scenario::new(2, 300);
    for _ in 0..40 {
        match scenario.pools.checkout(scenario.now, HostId(0)) {
            Checkout::Open(connection) => {
                scenario.record("connects");
                scenario.pools.connect_failed(scenario.now, connection, ConnectFailure::Host);
            }
            other => assert!(matches!(other, Checkout::CircuitOpen), "expected CircuitOpen, got {other:?}"),
        }
        scenario.advance(100 * MS);
    }
    scenario.advance(2 * SECOND);
    scenario.exchange(0);
    scenario.exchange(0);

    scenario.assert_trace(expect![[r#"
        0     connects
        100   connects
        200   connects
        300   connects
        500   connects
        800   connects
        1500  connects
        2500  connects
        3900  connects
        6000  h0 Open(ConnectionId(9))
        6005  h0 Reuse(ConnectionId(9))
        connections_presumed_stale=0 connections_surplus_closed=0 connection_faults=0
        attempts_in_doubt=0 late_responses=0
        connects_throttled=0 connects_circuit_open=31 connects_exhausted=0 process_stalls=0"#]]);
}

#[test]
fn hung_host_beyond_its_share_is_refused_once_descriptors_are_short() {
    let mut scenario = Scenario::new(2, 120);
    scenario.exchange_with(1..10);
    let mut open = 0;
    let refused = loop {
        match scenario.pools.checkout(scenario.now, HostId(0)) {
            Checkout::Open(connection) => {
                scenario.pools.connected(connection);
                scenario.pools.request_sent(scenario.now, connection);
                open += 1;
            }
            Checkout::RetryAt(at) | Checkout::Throttled(at) => scenario.now = at,
            other => break other,
        }
    };
    scenario.trace.clear();
    scenario.record(&format!("{refused:?} at {open} open"));

    // Other hosts still get connections.
    scenario.exchange(5);
    match scenario.pools.checkout(scenario.now, HostId(5)) {
        Checkout::Reuse(_) => {}
        other => panic!("expected an idle connection, got {other:?}"),
    }
    let checkout = scenario.pools.checkout(scenario.now, HostId(5));
    scenario.record(&format!("h5 {checkout:?}"));

    scenario.assert_trace(expect![[r#"
        205   Exhausted at 96 open
        205   h5 Reuse(ConnectionId(4))
        210   h5 Open(ConnectionId(105))
        connections_presumed_stale=0 connections_surplus_closed=0 connection_faults=0
        attempts_in_doubt=0 late_responses=0
        connects_throttled=32 connects_circuit_open=0 connects_exhausted=1 process_stalls=0"#]]);
}

#[test]
fn process_stall_is_no_evidence_against_any_connection() {
    let mut scenario = Scenario::new(2, 300);
    let pending = scenario.send(0);
    for _ in 0..3 {
        scenario.now += MS;
        scenario.exchange(0);
    }

    // The process stalls: no tick for 2 s.
    scenario.now += 2 * SECOND;
    let stalled = scenario.pools.tick(scenario.now);
    scenario.record(&format!(
        "stalled for {} ms, {:?} is {:?}",
        stalled / MS,
        pending,
        scenario.pools.state(pending)
    ));
    scenario.now += 5 * MS;
    scenario.pools.answered(scenario.now, pending, true);

    scenario.assert_trace(expect![[r#"
        0     h0 Open(ConnectionId(0))
        1     h0 Open(ConnectionId(1))
        7     h0 Reuse(ConnectionId(1))
        13    h0 Reuse(ConnectionId(1))
        2018  stalled for 2018 ms, ConnectionId(0) is Warming
        connections_presumed_stale=0 connections_surplus_closed=0 connection_faults=0
        attempts_in_doubt=0 late_responses=0
        connects_throttled=0 connects_circuit_open=0 connects_exhausted=0 process_stalls=1"#]]);
}

#[test]
fn attempt_overtaken_by_later_responses_is_in_doubt_once() {
    let mut scenario = Scenario::new(2, 300);
    scenario.exchange(0);
    let unanswered = scenario.send(0);
    scenario.advance(60 * MS);
    for _ in 0..3 {
        scenario.exchange(0);
    }
    scenario.advance(200 * MS);
    scenario.record(&format!("{unanswered:?} is {:?}", scenario.pools.state(unanswered)));

    scenario.assert_trace(expect![[r#"
        0     h0 Open(ConnectionId(0))
        5     h0 Reuse(ConnectionId(0))
        65    h0 Open(ConnectionId(1))
        70    h0 Reuse(ConnectionId(1))
        75    h0 Reuse(ConnectionId(1))
        130   [AttemptInDoubt(ConnectionId(0))]
        280   ConnectionId(0) is Active
        connections_presumed_stale=0 connections_surplus_closed=0 connection_faults=0
        attempts_in_doubt=1 late_responses=0
        connects_throttled=0 connects_circuit_open=0 connects_exhausted=0 process_stalls=0"#]]);
}

#[test]
fn surplus_idle_connections_are_closed_and_the_remaining_one_can_be_evicted() {
    let mut scenario = Scenario::new(2, 300);
    let many: Vec<ConnectionId> = (0..6).map(|_| scenario.send(0)).collect();
    scenario.now += 5 * MS;
    scenario.answer_all(&many);
    scenario.trace.clear();
    for _ in 0..14 {
        scenario.advance(500 * MS);
        scenario.exchange(0);
    }
    scenario.trace = scenario
        .trace
        .lines()
        .filter(|line| line.contains("Close"))
        .map(|line| format!("{line}\n"))
        .collect();
    let evicted = scenario.pools.evict_idle();
    scenario.record(&format!("evicted: {evicted:?}, {} open", scenario.pools.open_connections()));

    scenario.assert_trace(expect![[r#"
        5050  [Close(ConnectionId(0)), Close(ConnectionId(1)), Close(ConnectionId(2)), Close(ConnectionId(3)), Close(ConnectionId(4))]
        7075  evicted: Some(ConnectionId(5)), 0 open
        connections_presumed_stale=0 connections_surplus_closed=5 connection_faults=0
        attempts_in_doubt=0 late_responses=0
        connects_throttled=0 connects_circuit_open=0 connects_exhausted=0 process_stalls=0"#]]);
}
