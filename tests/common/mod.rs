//! Shared by the trace tests: a small fleet, events in, a printed trace of the orders out.

use std::fmt::Write;

use basaltwood::rules::Balancer;
use basaltwood::types::*;

pub const MS: Micros = 1_000;
pub const READ: CategoryId = CategoryId(0);
pub const KEYED: CategoryId = CategoryId(1);
pub const ONCE: CategoryId = CategoryId(2);

/// One redeliverable, one deduplicated and one at-most-once category; four balancers.
pub fn terms() -> Terms {
    let category = |benefit, repeats| CategoryTerms {
        target_latency: 800 * MS,
        ttl: 2_000 * MS,
        benefit,
        late_benefit: 0.0,
        repeats,
    };
    Terms {
        seed: 7,
        balancers: 4,
        allowed: Allowed {
            aside: false,
            list_asked: false,
            weights_steady: true,
            max_pushes: 4,
            second_copies: true,
            call_off: true,
        },
        come_back: Some(2_000 * MS),
        tick: MS,
        excess_benefit: 0.1,
        cold: ColdTerms { from: 0.25, warm_within: 10_000 * MS, fall_multiple: 3.0, fall_window: 3_000 * MS },
        categories: vec![
            category(5.0, Repeats::Redeliverable),
            category(8.0, Repeats::Deduplicated { group: Group::Zone, window: 1_000 * MS }),
            category(10.0, Repeats::AtMostOnce),
        ],
        customers: vec![CustomerTerms { quota_per_s: 8.0 }, CustomerTerms { quota_per_s: 800.0 }],
    }
}

pub fn listed(host: u32) -> Listed {
    Listed {
        host: HostId(host),
        place: Place::of(&format!("host-{host}")),
        origin: false,
        zone: ZoneId(host % 2),
        cell: CellId(host),
        lifecycle: Lifecycle::Up,
        weight: 1.0,
        started: None,
    }
}

pub struct Fleet {
    balancer: Balancer,
    pub now: Micros,
    next: u32,
}

impl Fleet {
    pub fn new(terms: &Terms, hosts: Vec<Listed>) -> Fleet {
        let mut fleet = Fleet { balancer: Balancer::new(terms), now: 0, next: 0 };
        fleet.hear(Heard::List { whole: true, entries: hosts });
        fleet
    }

    /// Hears one event; the orders without those for the sweep's timer.
    pub fn hear(&mut self, heard: Heard) -> Vec<Order> {
        let mut orders = Vec::new();
        self.balancer.hear(self.now, heard, &mut orders);
        orders.retain(|order| !matches!(order, Order::Wake { wake: Wake::Sweep, .. }));
        orders
    }

    pub fn op(&mut self, category: CategoryId, key: &str) -> (OpId, Vec<Order>) {
        self.op_of(category, key, None)
    }

    pub fn op_of(
        &mut self,
        category: CategoryId,
        key: &str,
        customer: Option<CustomerId>,
    ) -> (OpId, Vec<Order>) {
        let op = OpId(self.next);
        self.next += 1;
        let heard = Heard::Op {
            op,
            category,
            customer,
            key: Some(Place::of(key)),
            write: category != READ,
            again: false,
            ttl_at: self.now + 2_000 * MS,
        };
        (op, self.hear(heard))
    }

    /// The push of an op that went as `push` to `host` ends, `over` where it was acked.
    pub fn end(&mut self, op: OpId, push: u32, host: HostId, end: End, took: Micros) -> Vec<Order> {
        self.hear(Heard::Ended { op, push: PushNo(push), host, took, end, over: end == End::Acked })
    }

    /// An op that is acked after a tenth of a second at each host it goes to; those hosts.
    pub fn served(&mut self, key: &str) -> Vec<HostId> {
        let (op, orders) = self.op(READ, key);
        self.now += 100 * MS;
        let hosts = pushed(&orders);
        for (push, &host) in hosts.iter().enumerate() {
            self.end(op, push as u32, host, End::Acked, 100 * MS);
        }
        hosts
    }

    /// Lets time pass with its sweeps; the orders they brought.
    pub fn pass(&mut self, span: Micros) -> Vec<Order> {
        let until = self.now + span;
        let mut orders = Vec::new();
        while self.now + 50 * MS <= until {
            self.now += 50 * MS;
            orders.extend(self.hear(Heard::Wake(Wake::Sweep)));
        }
        self.now = until;
        orders
    }
}

pub fn pushed(orders: &[Order]) -> Vec<HostId> {
    let host = |order: &Order| match order {
        Order::Push { host, .. } => Some(*host),
        _ => None,
    };
    orders.iter().filter_map(host).collect()
}

/// Orders in a line of plain words.
pub fn trace(orders: &[Order]) -> String {
    let mut text = String::new();
    for order in orders {
        let gap = if text.is_empty() { "" } else { "; " };
        let _ = match order {
            Order::Push { host, timeout, .. } => write!(text, "{gap}push h{} for {}", host.0, timeout / MS),
            Order::Nack { come_back, .. } => {
                write!(text, "{gap}nack, back in {}", come_back.map_or(0, |span| span / MS))
            }
            Order::DeadLetter { .. } => write!(text, "{gap}dead letter"),
            Order::CallOff { push, .. } => write!(text, "{gap}call off {}", push.0),
            Order::Wake { wake, .. } => write!(text, "{gap}wake {wake:?}"),
            Order::Watch => write!(text, "{gap}watch"),
        };
    }
    if text.is_empty() {
        text.push_str("nothing");
    }
    text
}
