//! Talks with the pools, printed step by step: what a push gets, whose fault an end was, what is ordered.

use basaltwood::types::{HostId, Micros};
use basaltwood_connection_pool::{
    Checkout, ConnectFailure, ConnectionId, ConnectionPools, Fault, PoolConfig,
};
use expect_test::{expect, Expect};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;

struct Talk {
    pools: ConnectionPools,
    now: Micros,
    text: String,
}

impl Talk {
    fn new(balancers: u32, max_connections: usize) -> Talk {
        let terms = PoolConfig {
            seed: 7,
            balancers,
            idle_timeout: 15 * SECOND,
            connect_timeout: 250 * MS,
            max_connections,
        };
        let mut talk = Talk { pools: ConnectionPools::new(terms), now: 0, text: String::new() };
        talk.pools.tick(0);
        talk
    }

    fn say(&mut self, what: &str) {
        let orders: Vec<String> =
            self.pools.take_actions().iter().map(|order| format!("{order:?}")).collect();
        let orders = if orders.is_empty() { String::new() } else { format!(" -> {}", orders.join(", ")) };
        self.text += &format!("{:<6}{what}{orders}\n", self.now / MS);
    }

    /// Time passes with its ticks; orders are told as they come.
    fn pass(&mut self, span: Micros) {
        let until = self.now + span;
        while self.now < until {
            self.now = (self.now + 50 * MS).min(until);
            self.pools.tick(self.now);
            let orders = self.pools.take_actions();
            if !orders.is_empty() {
                self.text += &format!("{:<6}{orders:?}\n", self.now / MS);
            }
        }
    }

    /// A push that is sent at once, on whatever connection it gets; that one.
    fn sent(&mut self, host: u32) -> ConnectionId {
        let grant = self.pools.checkout(self.now, HostId(host));
        let link = match grant {
            Checkout::Reuse(link) => link,
            Checkout::Open(link) => {
                self.pools.connected(self.now, link);
                link
            }
            other => panic!("{other:?}"),
        };
        self.pools.request_sent(self.now, link);
        self.say(&format!("h{host} {grant:?}"));
        link
    }

    /// The same, answered after 5 ms.
    fn served(&mut self, host: u32) -> ConnectionId {
        let link = self.sent(host);
        self.now += 5 * MS;
        self.pools.answered(self.now, link, true);
        link
    }

    fn ends(&mut self, what: &str, link: ConnectionId) -> Fault {
        let fault = match what {
            "broke" => self.pools.connection_lost(self.now, link),
            "silent" => self.pools.attempt_timed_out(self.now, link).0,
            other => panic!("{other}"),
        };
        let state = self.pools.state(link);
        self.say(&format!("{what} {link:?}: {fault:?} at fault, {state:?}"));
        fault
    }

    fn is(mut self, expected: Expect) {
        self.text += &self.pools.stats().to_string();
        expected.assert_eq(&self.text);
    }
}

#[test]
fn a_kept_connection_that_was_dead_tells_of_its_fellows_and_not_of_its_host() {
    let mut talk = Talk::new(2, 300);
    // Three in use together, all idle from now on.
    let three: Vec<ConnectionId> = (0..3).map(|_| talk.sent(0)).collect();
    talk.now += 5 * MS;
    three.iter().for_each(|&link| {
        talk.pools.answered(talk.now, link, true);
    });
    talk.pass(600 * MS);
    // One may be chance; with the second the third goes too, and the next is new.
    for _ in 0..2 {
        let used = talk.sent(0);
        talk.now += MS;
        talk.ends("broke", used);
    }
    talk.served(0);
    // What has stood for so long is not trusted any more, and is in half a minute.
    talk.pass(700 * MS);
    talk.served(0);
    talk.pass(30 * SECOND);
    talk.served(0);
    talk.pass(700 * MS);
    talk.served(0);
    talk.is(expect![[r#"
        0     h0 Open(ConnectionId(0))
        0     h0 Open(ConnectionId(1))
        0     h0 Open(ConnectionId(2))
        605   h0 Reuse(ConnectionId(2))
        606   broke ConnectionId(2): Connection at fault, Closed
        606   h0 Reuse(ConnectionId(1))
        607   broke ConnectionId(1): Connection at fault, Closed -> Close(ConnectionId(0))
        607   h0 Open(ConnectionId(3))
        912   [Close(ConnectionId(3))]
        1312  h0 Open(ConnectionId(4))
        1617  [Close(ConnectionId(4))]
        31317 h0 Open(ConnectionId(5))
        32022 h0 Reuse(ConnectionId(5))
        links_distrusted=3 links_surplus=0 links_dead_kept=2 pushes_doubted=0 links_late=0 opens_put_off=0 opens_closed=0 opens_full=0 own_stops=0"#]]);
}

#[test]
fn what_forgot_the_connections_of_three_hosts_forgot_those_of_all() {
    let mut talk = Talk::new(2, 300);
    (0..5).for_each(|host| {
        talk.served(host);
    });
    talk.pass(900 * MS);
    let three = [talk.sent(0), talk.sent(1), talk.sent(2)];
    talk.now += MS;
    for link in three {
        talk.ends("broke", link);
    }
    // Hosts 3 and 4 lose nothing: new ones are opened there.
    talk.served(3);
    talk.served(4);
    talk.is(expect![[r#"
        0     h0 Open(ConnectionId(0))
        5     h1 Open(ConnectionId(1))
        10    h2 Open(ConnectionId(2))
        15    h3 Open(ConnectionId(3))
        20    h4 Open(ConnectionId(4))
        925   h0 Reuse(ConnectionId(0))
        925   h1 Reuse(ConnectionId(1))
        925   h2 Reuse(ConnectionId(2))
        926   broke ConnectionId(0): Connection at fault, Closed
        926   broke ConnectionId(1): Connection at fault, Closed
        926   broke ConnectionId(2): Connection at fault, Closed -> Close(ConnectionId(3)), Close(ConnectionId(4))
        926   h3 Open(ConnectionId(5))
        931   h4 Open(ConnectionId(6))
        links_distrusted=2 links_surplus=0 links_dead_kept=3 pushes_doubted=0 links_late=0 opens_put_off=0 opens_closed=0 opens_full=0 own_stops=0"#]]);
}

#[test]
fn one_that_is_good_between_says_that_the_dead_ones_were_chance() {
    let mut talk = Talk::new(2, 300);
    (0..5).for_each(|host| {
        talk.served(host);
    });
    talk.pass(900 * MS);
    let dead = [talk.sent(0), talk.sent(1), talk.sent(2)];
    talk.now += MS;
    talk.ends("broke", dead[0]);
    talk.served(3);
    talk.ends("broke", dead[1]);
    talk.ends("broke", dead[2]);
    talk.served(4);
    talk.is(expect![[r#"
        0     h0 Open(ConnectionId(0))
        5     h1 Open(ConnectionId(1))
        10    h2 Open(ConnectionId(2))
        15    h3 Open(ConnectionId(3))
        20    h4 Open(ConnectionId(4))
        925   h0 Reuse(ConnectionId(0))
        925   h1 Reuse(ConnectionId(1))
        925   h2 Reuse(ConnectionId(2))
        926   broke ConnectionId(0): Connection at fault, Closed
        926   h3 Reuse(ConnectionId(3))
        931   broke ConnectionId(1): Connection at fault, Closed
        931   broke ConnectionId(2): Connection at fault, Closed -> Close(ConnectionId(4))
        931   h4 Open(ConnectionId(5))
        links_distrusted=1 links_surplus=0 links_dead_kept=3 pushes_doubted=0 links_late=0 opens_put_off=0 opens_closed=0 opens_full=0 own_stops=0"#]]);
}

#[test]
fn silence_is_weighed_against_what_others_of_the_host_answer() {
    let mut talk = Talk::new(2, 300);
    let mute = talk.sent(0);
    for _ in 0..4 {
        talk.now += 2 * MS;
        talk.served(0);
    }
    talk.pass(50 * MS);
    talk.ends("silent", mute);
    // All silent at once: the host, and with the third one is listened to.
    let all: Vec<ConnectionId> = (0..3).map(|_| talk.sent(0)).collect();
    talk.pass(300 * MS);
    for &link in &all {
        talk.ends("silent", link);
    }
    talk.pass(100 * MS);
    // It answers late, on one from before: it is there, and was not started anew.
    let kept = talk.pools.late_response(talk.now, all[2], true);
    talk.say(&format!("late whole answer, kept {kept}"));
    talk.served(0);
    talk.now += MS;
    let slow = talk.sent(0);
    talk.pass(300 * MS);
    talk.ends("silent", slow);
    let kept = talk.pools.late_response(talk.now, slow, false);
    talk.say(&format!("late nonsense, kept {kept}"));
    talk.served(0);
    talk.is(expect![[r#"
        0     h0 Open(ConnectionId(0))
        2     h0 Open(ConnectionId(1))
        9     h0 Reuse(ConnectionId(1))
        16    h0 Reuse(ConnectionId(1))
        23    h0 Reuse(ConnectionId(1))
        78    [AttemptInDoubt(ConnectionId(0))]
        78    silent ConnectionId(0): Connection at fault, Doubtful
        78    h0 Reuse(ConnectionId(1))
        78    h0 Open(ConnectionId(2))
        78    h0 Open(ConnectionId(3))
        378   silent ConnectionId(1): Host at fault, Closed
        378   silent ConnectionId(2): Host at fault, Closed
        378   silent ConnectionId(3): Host at fault, Doubtful
        478   late whole answer, kept true -> HostAlive(HostId(0))
        478   h0 Reuse(ConnectionId(3))
        484   h0 Reuse(ConnectionId(3))
        784   silent ConnectionId(3): Host at fault, Closed
        784   late nonsense, kept false
        784   h0 Open(ConnectionId(4))
        links_distrusted=0 links_surplus=0 links_dead_kept=0 pushes_doubted=1 links_late=1 opens_put_off=0 opens_closed=0 opens_full=0 own_stops=0"#]]);
}

#[test]
fn a_new_connection_whose_first_push_gave_up_is_kept_for_the_next_where_its_host_is_well() {
    let mut talk = Talk::new(2, 300);
    let first = talk.sent(0);
    talk.now += 2 * MS;
    talk.served(0);
    talk.pass(50 * MS);
    talk.ends("silent", first);
    talk.pass(50 * MS);
    // Its host answered others all along: nobody is told that it is back.
    let kept = talk.pools.late_response(talk.now, first, true);
    talk.say(&format!("late whole answer, kept {kept}"));
    talk.sent(0);
    // One that is warm and gives up is slow by its host, which is not to work on for nobody.
    talk.now += MS;
    talk.served(0);
    talk.pass(50 * MS);
    talk.ends("silent", first);
    talk.is(expect![[r#"
        0     h0 Open(ConnectionId(0))
        2     h0 Open(ConnectionId(1))
        57    silent ConnectionId(0): Connection at fault, Doubtful
        107   late whole answer, kept true
        107   h0 Reuse(ConnectionId(0))
        108   h0 Reuse(ConnectionId(1))
        163   silent ConnectionId(0): Connection at fault, Closed
        links_distrusted=0 links_surplus=0 links_dead_kept=0 pushes_doubted=0 links_late=1 opens_put_off=0 opens_closed=0 opens_full=0 own_stops=0"#]]);
}

#[test]
fn a_host_that_lets_nothing_come_up_is_asked_in_growing_pauses() {
    let mut talk = Talk::new(2, 300);
    for _ in 0..40 {
        match talk.pools.checkout(talk.now, HostId(0)) {
            Checkout::Open(link) => {
                talk.say("asked");
                talk.pools.connect_failed(talk.now, link, ConnectFailure::Host);
            }
            other => assert!(matches!(other, Checkout::CircuitOpen), "{other:?}"),
        }
        talk.pass(100 * MS);
    }
    talk.pass(2 * SECOND);
    talk.served(0);
    talk.served(0);
    talk.is(expect![[r#"
        0     asked
        100   asked
        200   asked
        300   asked
        500   asked
        800   asked
        1500  asked
        2500  asked
        3900  asked
        6000  h0 Open(ConnectionId(9))
        6005  h0 Reuse(ConnectionId(9))
        links_distrusted=0 links_surplus=0 links_dead_kept=0 pushes_doubted=0 links_late=0 opens_put_off=0 opens_closed=31 opens_full=0 own_stops=0"#]]);
}

#[test]
fn a_hung_host_holds_no_more_than_its_part_where_descriptors_are_short() {
    let mut talk = Talk::new(2, 120);
    (1..10).for_each(|host| {
        talk.served(host);
    });
    let mut held = 0;
    let refused = loop {
        match talk.pools.checkout(talk.now, HostId(0)) {
            Checkout::Open(link) => {
                talk.pools.connected(talk.now, link);
                talk.pools.request_sent(talk.now, link);
                held += 1;
            }
            Checkout::RetryAt(at) => talk.now = at,
            other => break other,
        }
    };
    talk.text.clear();
    talk.say(&format!("{refused:?} at {held} held"));
    // All others go on.
    talk.served(5);
    match talk.pools.checkout(talk.now, HostId(5)) {
        Checkout::Reuse(_) => {}
        other => panic!("{other:?}"),
    }
    let grant = talk.pools.checkout(talk.now, HostId(5));
    talk.say(&format!("h5 {grant:?}"));
    talk.is(expect![[r#"
        205   Exhausted at 96 held
        205   h5 Reuse(ConnectionId(4))
        210   h5 Open(ConnectionId(105))
        links_distrusted=0 links_surplus=0 links_dead_kept=0 pushes_doubted=0 links_late=0 opens_put_off=32 opens_closed=0 opens_full=1 own_stops=0"#]]);
}

#[test]
fn a_stop_of_our_own_is_evidence_against_nobody() {
    let mut talk = Talk::new(2, 300);
    let out = talk.sent(0);
    for _ in 0..3 {
        talk.now += MS;
        talk.served(0);
    }
    // The machine stood still: no tick for two seconds.
    talk.now += 2 * SECOND;
    let stopped = talk.pools.tick(talk.now);
    talk.say(&format!("stopped for {} ms, {:?} is {:?}", stopped / MS, out, talk.pools.state(out)));
    talk.now += 5 * MS;
    talk.pools.answered(talk.now, out, true);
    talk.is(expect![[r#"
        0     h0 Open(ConnectionId(0))
        1     h0 Open(ConnectionId(1))
        7     h0 Reuse(ConnectionId(1))
        13    h0 Reuse(ConnectionId(1))
        2018  stopped for 2018 ms, ConnectionId(0) is Warming
        links_distrusted=0 links_surplus=0 links_dead_kept=0 pushes_doubted=0 links_late=0 opens_put_off=0 opens_closed=0 opens_full=0 own_stops=1"#]]);
}

#[test]
fn a_push_that_others_overtook_is_doubted_once() {
    let mut talk = Talk::new(2, 300);
    talk.served(0);
    let mute = talk.sent(0);
    talk.pass(60 * MS);
    for _ in 0..3 {
        talk.served(0);
    }
    talk.pass(200 * MS);
    talk.say(&format!("{mute:?} is {:?}", talk.pools.state(mute)));
    talk.is(expect![[r#"
        0     h0 Open(ConnectionId(0))
        5     h0 Reuse(ConnectionId(0))
        65    h0 Open(ConnectionId(1))
        70    h0 Reuse(ConnectionId(1))
        75    h0 Reuse(ConnectionId(1))
        130   [AttemptInDoubt(ConnectionId(0))]
        280   ConnectionId(0) is Carrying
        links_distrusted=0 links_surplus=0 links_dead_kept=0 pushes_doubted=1 links_late=0 opens_put_off=0 opens_closed=0 opens_full=0 own_stops=0"#]]);
}

#[test]
fn more_than_were_needed_of_late_are_closed_and_room_is_made_of_the_oldest() {
    let mut talk = Talk::new(2, 300);
    let many: Vec<ConnectionId> = (0..6).map(|_| talk.sent(0)).collect();
    talk.now += 5 * MS;
    many.iter().for_each(|&link| {
        talk.pools.answered(talk.now, link, true);
    });
    talk.text.clear();
    for _ in 0..14 {
        talk.pass(500 * MS);
        talk.served(0);
    }
    talk.text =
        talk.text.lines().filter(|line| line.contains("Close")).map(|line| format!("{line}\n")).collect();
    let room = talk.pools.evict_idle();
    talk.say(&format!("room: {room:?}, {} open", talk.pools.open_connections()));
    talk.is(expect![[r#"
        5050  [Close(ConnectionId(0)), Close(ConnectionId(1)), Close(ConnectionId(2)), Close(ConnectionId(3)), Close(ConnectionId(4))]
        7075  room: Some(ConnectionId(5)), 0 open
        links_distrusted=0 links_surplus=5 links_dead_kept=0 pushes_doubted=0 links_late=0 opens_put_off=0 opens_closed=0 opens_full=0 own_stops=0"#]]);
}

/// Opens a second over the fleet when 40 hosts return in one instant, by so many balancers that each want eight
/// connections to each at once.
fn returning(balancers: u32) -> (u64, u64, usize) {
    const HOSTS: u32 = 40;
    const EACH: usize = 8;
    // Balancers are alike but for their chance: a part of them stands for all.
    let played = balancers.min(4);
    let mut by_tenth = vec![0_u64; 600];
    let mut whole = 0;
    for nth in 0..played {
        let terms = PoolConfig {
            seed: u64::from(nth),
            balancers,
            idle_timeout: 15 * SECOND,
            connect_timeout: 250 * MS,
            max_connections: 1_000,
        };
        let mut pools = ConnectionPools::new(terms);
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
                        Checkout::Open(link) if there => {
                            pools.connected(now, link);
                            pools.request_sent(now, link);
                            up[host as usize] += 1;
                            by_tenth[(now / (100 * MS)) as usize] += 1;
                        }
                        Checkout::Open(link) => pools.connect_failed(now, link, ConnectFailure::Host),
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
fn a_fleet_that_returns_in_one_instant_meets_no_stampede() {
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
