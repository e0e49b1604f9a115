//! Talks with the pools, printed step by step: what a push gets, whose fault an end was, what is ordered.

use basaltwood::types::{HostId, Micros};
use basaltwood_connection_pool::{
    Checkout, ConnectFailure, ConnectionId, ConnectionPools, Fault, PoolConfig,
};
use expect_test::{expect, Expect};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;

struct Scenario {
    pools: ConnectionPools,
    now: Micros,
    text: String,
}

impl Scenario {
    fn new(balancers: u32, max_connections: usize) -> Scenario {
        let config = PoolConfig {
            seed: 7,
            balancers,
            idle_timeout: 15 * SECOND,
            connect_timeout: 250 * MS,
            max_connections,
        };
        let mut scenario = Scenario { pools: ConnectionPools::new(config), now: 0, text: String::new() };
        scenario.pools.tick(0);
        scenario
    }

    fn record(&mut self, what: &str) {
        let actions: Vec<String> =
            self.pools.take_actions().iter().map(|order| format!("{order:?}")).collect();
        let actions = if actions.is_empty() { String::new() } else { format!(" -> {}", actions.join(", ")) };
        self.text += &format!("{:<6}{what}{actions}\n", self.now / MS);
    }

    /// Time passes with its ticks; actions are told as they come.
    fn advance(&mut self, span: Micros) {
        let until = self.now + span;
        while self.now < until {
            self.now = (self.now + 50 * MS).min(until);
            self.pools.tick(self.now);
            let actions = self.pools.take_actions();
            if !actions.is_empty() {
                self.text += &format!("{:<6}{actions:?}\n", self.now / MS);
            }
        }
    }

    /// A push that is sent at once, on whatever connection it gets; that one.
    fn send(&mut self, host: u32) -> ConnectionId {
        let checkout = self.pools.checkout(self.now, HostId(host));
        let connection = match checkout {
            Checkout::Reuse(connection) => connection,
            Checkout::Open(connection) => {
                self.pools.connected(connection);
                connection
            }
            other => panic!("{other:?}"),
        };
        self.pools.request_sent(self.now, connection);
        self.record(&format!("h{host} {checkout:?}"));
        connection
    }

    /// The same, answered after 5 ms.
    fn exchange(&mut self, host: u32) -> ConnectionId {
        let connection = self.send(host);
        self.now += 5 * MS;
        self.pools.answered(self.now, connection, true);
        connection
    }

    fn end(&mut self, what: &str, connection: ConnectionId) -> Fault {
        let fault = match what {
            "lost" => self.pools.connection_lost(self.now, connection),
            "timed out" => self.pools.attempt_timed_out(self.now, connection).fault,
            other => panic!("{other}"),
        };
        let state = self.pools.state(connection);
        self.record(&format!("{what} {connection:?}: {fault:?} at fault, {state:?}"));
        fault
    }

    fn assert_trace(mut self, expected: Expect) {
        self.text += &self.pools.stats().to_string();
        expected.assert_eq(&self.text);
    }
}

#[test]
fn two_stale_connections_in_a_row_close_idle_ones_as_old_and_spare_the_host() {
    let mut scenario = Scenario::new(2, 300);
    // Three in use together, all idle from now on.
    let three: Vec<ConnectionId> = (0..3).map(|_| scenario.send(0)).collect();
    scenario.now += 5 * MS;
    three.iter().for_each(|&connection| {
        scenario.pools.answered(scenario.now, connection, true);
    });
    scenario.advance(600 * MS);
    // One may be chance; with the second the third goes too, and the next is new.
    for _ in 0..2 {
        let used = scenario.send(0);
        scenario.now += MS;
        scenario.end("lost", used);
    }
    scenario.exchange(0);
    // What has stood for so long is not trusted any more, and is in half a minute.
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
        connections_presumed_stale=3 connections_surplus_closed=0 connection_faults=2 attempts_in_doubt=0 late_responses=0 connects_throttled=0 connects_circuit_open=0 connects_exhausted=0 process_stalls=0"#]]);
}

#[test]
fn stale_connections_of_three_hosts_at_once_close_idle_ones_of_all_hosts() {
    let mut scenario = Scenario::new(2, 300);
    (0..5).for_each(|host| {
        scenario.exchange(host);
    });
    scenario.advance(900 * MS);
    let three = [scenario.send(0), scenario.send(1), scenario.send(2)];
    scenario.now += MS;
    for connection in three {
        scenario.end("lost", connection);
    }
    // Hosts 3 and 4 lose nothing: new ones are opened there.
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
        connections_presumed_stale=2 connections_surplus_closed=0 connection_faults=3 attempts_in_doubt=0 late_responses=0 connects_throttled=0 connects_circuit_open=0 connects_exhausted=0 process_stalls=0"#]]);
}

#[test]
fn stale_connections_with_a_good_one_between_leave_other_hosts_alone() {
    let mut scenario = Scenario::new(2, 300);
    (0..5).for_each(|host| {
        scenario.exchange(host);
    });
    scenario.advance(900 * MS);
    let dead = [scenario.send(0), scenario.send(1), scenario.send(2)];
    scenario.now += MS;
    scenario.end("lost", dead[0]);
    scenario.exchange(3);
    scenario.end("lost", dead[1]);
    scenario.end("lost", dead[2]);
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
        connections_presumed_stale=1 connections_surplus_closed=0 connection_faults=3 attempts_in_doubt=0 late_responses=0 connects_throttled=0 connects_circuit_open=0 connects_exhausted=0 process_stalls=0"#]]);
}

#[test]
fn timeout_is_weighed_against_other_responses_of_the_host() {
    let mut scenario = Scenario::new(2, 300);
    let mute = scenario.send(0);
    for _ in 0..4 {
        scenario.now += 2 * MS;
        scenario.exchange(0);
    }
    scenario.advance(50 * MS);
    scenario.end("timed out", mute);
    // All silent at once: the host, and with the third one is listened to.
    let all: Vec<ConnectionId> = (0..3).map(|_| scenario.send(0)).collect();
    scenario.advance(300 * MS);
    for &connection in &all {
        scenario.end("timed out", connection);
    }
    scenario.advance(100 * MS);
    // It answers late, on one from before: it is there, and was not started anew.
    let kept = scenario.pools.late_response(scenario.now, all[2], true);
    scenario.record(&format!("late whole response, kept {kept}"));
    scenario.exchange(0);
    scenario.now += MS;
    let slow = scenario.send(0);
    scenario.advance(300 * MS);
    scenario.end("timed out", slow);
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
        connections_presumed_stale=0 connections_surplus_closed=0 connection_faults=0 attempts_in_doubt=1 late_responses=1 connects_throttled=0 connects_circuit_open=0 connects_exhausted=0 process_stalls=0"#]]);
}

#[test]
fn new_connection_whose_first_attempt_timed_out_is_reused_after_its_late_response() {
    let mut scenario = Scenario::new(2, 300);
    let first = scenario.send(0);
    scenario.now += 2 * MS;
    scenario.exchange(0);
    scenario.advance(50 * MS);
    scenario.end("timed out", first);
    scenario.advance(50 * MS);
    // Its host answered others all along: nobody is told that it is back.
    let kept = scenario.pools.late_response(scenario.now, first, true);
    scenario.record(&format!("late whole response, kept {kept}"));
    scenario.send(0);
    // One that is warm and gives up is slow by its host, which is not to work on for nobody.
    scenario.now += MS;
    scenario.exchange(0);
    scenario.advance(50 * MS);
    scenario.end("timed out", first);
    scenario.assert_trace(expect![[r#"
        0     h0 Open(ConnectionId(0))
        2     h0 Open(ConnectionId(1))
        57    timed out ConnectionId(0): Connection at fault, AwaitingLateResponse
        107   late whole response, kept true
        107   h0 Reuse(ConnectionId(0))
        108   h0 Reuse(ConnectionId(1))
        163   timed out ConnectionId(0): Connection at fault, Closed
        connections_presumed_stale=0 connections_surplus_closed=0 connection_faults=0 attempts_in_doubt=0 late_responses=1 connects_throttled=0 connects_circuit_open=0 connects_exhausted=0 process_stalls=0"#]]);
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
            other => assert!(matches!(other, Checkout::CircuitOpen), "{other:?}"),
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
        connections_presumed_stale=0 connections_surplus_closed=0 connection_faults=0 attempts_in_doubt=0 late_responses=0 connects_throttled=0 connects_circuit_open=31 connects_exhausted=0 process_stalls=0"#]]);
}

#[test]
fn hung_host_when_descriptors_are_short_holds_no_more_than_its_share() {
    let mut scenario = Scenario::new(2, 120);
    (1..10).for_each(|host| {
        scenario.exchange(host);
    });
    let mut open = 0;
    let refused = loop {
        match scenario.pools.checkout(scenario.now, HostId(0)) {
            Checkout::Open(connection) => {
                scenario.pools.connected(connection);
                scenario.pools.request_sent(scenario.now, connection);
                open += 1;
            }
            Checkout::RetryAt(at) => scenario.now = at,
            other => break other,
        }
    };
    scenario.text.clear();
    scenario.record(&format!("{refused:?} at {open} open"));
    // All others go on.
    scenario.exchange(5);
    match scenario.pools.checkout(scenario.now, HostId(5)) {
        Checkout::Reuse(_) => {}
        other => panic!("{other:?}"),
    }
    let checkout = scenario.pools.checkout(scenario.now, HostId(5));
    scenario.record(&format!("h5 {checkout:?}"));
    scenario.assert_trace(expect![[r#"
        205   Exhausted at 96 open
        205   h5 Reuse(ConnectionId(4))
        210   h5 Open(ConnectionId(105))
        connections_presumed_stale=0 connections_surplus_closed=0 connection_faults=0 attempts_in_doubt=0 late_responses=0 connects_throttled=32 connects_circuit_open=0 connects_exhausted=1 process_stalls=0"#]]);
}

#[test]
fn process_stall_is_evidence_against_no_connection() {
    let mut scenario = Scenario::new(2, 300);
    let out = scenario.send(0);
    for _ in 0..3 {
        scenario.now += MS;
        scenario.exchange(0);
    }
    // The machine stood still: no tick for two seconds.
    scenario.now += 2 * SECOND;
    let stalled = scenario.pools.tick(scenario.now);
    scenario.record(&format!(
        "stalled for {} ms, {:?} is {:?}",
        stalled / MS,
        out,
        scenario.pools.state(out)
    ));
    scenario.now += 5 * MS;
    scenario.pools.answered(scenario.now, out, true);
    scenario.assert_trace(expect![[r#"
        0     h0 Open(ConnectionId(0))
        1     h0 Open(ConnectionId(1))
        7     h0 Reuse(ConnectionId(1))
        13    h0 Reuse(ConnectionId(1))
        2018  stalled for 2018 ms, ConnectionId(0) is Warming
        connections_presumed_stale=0 connections_surplus_closed=0 connection_faults=0 attempts_in_doubt=0 late_responses=0 connects_throttled=0 connects_circuit_open=0 connects_exhausted=0 process_stalls=1"#]]);
}

#[test]
fn attempt_overtaken_by_later_responses_is_in_doubt_once() {
    let mut scenario = Scenario::new(2, 300);
    scenario.exchange(0);
    let mute = scenario.send(0);
    scenario.advance(60 * MS);
    for _ in 0..3 {
        scenario.exchange(0);
    }
    scenario.advance(200 * MS);
    scenario.record(&format!("{mute:?} is {:?}", scenario.pools.state(mute)));
    scenario.assert_trace(expect![[r#"
        0     h0 Open(ConnectionId(0))
        5     h0 Reuse(ConnectionId(0))
        65    h0 Open(ConnectionId(1))
        70    h0 Reuse(ConnectionId(1))
        75    h0 Reuse(ConnectionId(1))
        130   [AttemptInDoubt(ConnectionId(0))]
        280   ConnectionId(0) is Active
        connections_presumed_stale=0 connections_surplus_closed=0 connection_faults=0 attempts_in_doubt=1 late_responses=0 connects_throttled=0 connects_circuit_open=0 connects_exhausted=0 process_stalls=0"#]]);
}

#[test]
fn surplus_idle_connections_are_closed_and_the_oldest_is_evicted_first() {
    let mut scenario = Scenario::new(2, 300);
    let many: Vec<ConnectionId> = (0..6).map(|_| scenario.send(0)).collect();
    scenario.now += 5 * MS;
    many.iter().for_each(|&connection| {
        scenario.pools.answered(scenario.now, connection, true);
    });
    scenario.text.clear();
    for _ in 0..14 {
        scenario.advance(500 * MS);
        scenario.exchange(0);
    }
    scenario.text =
        scenario.text.lines().filter(|line| line.contains("Close")).map(|line| format!("{line}\n")).collect();
    let evicted = scenario.pools.evict_idle();
    scenario.record(&format!("evicted: {evicted:?}, {} open", scenario.pools.open_connections()));
    scenario.assert_trace(expect![[r#"
        5050  [Close(ConnectionId(0)), Close(ConnectionId(1)), Close(ConnectionId(2)), Close(ConnectionId(3)), Close(ConnectionId(4))]
        7075  evicted: Some(ConnectionId(5)), 0 open
        connections_presumed_stale=0 connections_surplus_closed=5 connection_faults=0 attempts_in_doubt=0 late_responses=0 connects_throttled=0 connects_circuit_open=0 connects_exhausted=0 process_stalls=0"#]]);
}

/// Opens a second over the fleet when 40 hosts return in one instant, by so many balancers that each want eight
/// connections to each at once.
fn returning(balancers: u32) -> (u64, u64, usize) {
    const HOSTS: u32 = 40;
    const EACH: usize = 8;
    // Balancers are alike but for their seed: a part of them stands for all.
    let played = balancers.min(4);
    let mut by_tenth = vec![0_u64; 600];
    let mut whole = 0;
    for nth in 0..played {
        let config = PoolConfig {
            seed: u64::from(nth),
            balancers,
            idle_timeout: 15 * SECOND,
            connect_timeout: 250 * MS,
            max_connections: 1_000,
        };
        let mut pools = ConnectionPools::new(config);
        let mut up = vec![0; HOSTS as usize];
        for step in 0..3_000_i64 {
            let now = step * 20 * MS;
            // All are away for the first two seconds.
            let there = now >= 2 * SECOND;
            if step % 5 == 0 {
                pools.tick(now);
                pools.take_actions();
            }
            for host in 0..HOSTS {
                while up[host as usize] < EACH {
                    match pools.checkout(now, HostId(host)) {
                        Checkout::Open(connection) if there => {
                            pools.connected(connection);
                            pools.request_sent(now, connection);
                            up[host as usize] += 1;
                            by_tenth[(now / (100 * MS)) as usize] += 1;
                        }
                        Checkout::Open(connection) => {
                            pools.connect_failed(now, connection, ConnectFailure::Host)
                        }
                        _ => break,
                    }
                }
            }
        }
        whole += usize::from(up.iter().all(|&up| up == EACH));
    }
    let scale = u64::from(balancers / played);
    let most_second = by_tenth.windows(10).map(|window| window.iter().sum::<u64>()).max().unwrap_or(0);
    let most_tenth = by_tenth.iter().max().copied().unwrap_or(0);
    (most_second * scale, most_tenth * scale, whole * scale as usize)
}

#[test]
fn fleet_that_returns_at_once_meets_no_connection_stampede() {
    let mut text = String::new();
    for balancers in [2, 20, 200] {
        let (second, tenth, whole) = returning(balancers);
        let all = u64::from(balancers) * 40 * 8;
        text += &format!(
            "{balancers} balancers: {all} connections wanted, at most {second} opened in a second and {tenth} in a \
             tenth of one; {whole} have all of theirs after a minute\n"
        );
    }
    expect![[r#"
        2 balancers: 640 connections wanted, at most 632 opened in a second and 120 in a tenth of one; 2 have all of theirs after a minute
        20 balancers: 6400 connections wanted, at most 5915 opened in a second and 870 in a tenth of one; 20 have all of theirs after a minute
        200 balancers: 64000 connections wanted, at most 6400 opened in a second and 800 in a tenth of one; 200 have all of theirs after a minute
    "#]].assert_eq(&text);
}
