//! The module in blocking style, for code that serves sockets: `pick` takes an op in, `report` tells how one
//! of its pushes ended, `tick` lets due timers run. Each answers what is to be done for that op; what was
//! decided for another op meanwhile lies in that op's mailbox, and `rung` names the ops to look there.
//! It owns op numbers and timers and holds no clock; it decides nothing itself.

use std::collections::{BTreeMap, BTreeSet};

use crate::policy::Balancer;
use crate::types::*;

/// An op as it is taken in.
#[derive(Clone, Copy, Debug)]
pub struct Ask {
    pub category: CategoryId,
    pub customer: Option<CustomerId>,
    pub key: Option<Place>,
    pub write: bool,
    pub again: bool,
    pub ttl_at: Micros,
}

/// What is to be done for an op. The last three are final answers, and an op gets just one of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    Push {
        push: PushNo,
        host: HostId,
        /// What has not ended by then has timed out, and nothing of it is sent later.
        until: Micros,
    },
    /// Stop waiting for a push; it is still to be reported, as called off.
    CallOff(PushNo),
    /// The answer that this push brought is the op's.
    Ack(PushNo),
    Nack {
        come_back: Option<Micros>,
    },
    DeadLetter,
}

/// An op that is open or has pushes out.
#[derive(Default)]
struct Ticket {
    pushes: u32,
    /// Pushes out: where, and when each was sent.
    out: BTreeMap<PushNo, (HostId, Micros)>,
    over: bool,
    mail: Vec<Decision>,
}

pub struct Facade {
    balancer: Balancer,
    tickets: BTreeMap<OpId, Ticket>,
    /// Ops held at a time; more are nacked unseen, which is harmless.
    most: usize,
    next: u32,
    rung: BTreeSet<OpId>,
    timers: Vec<(Micros, Wake)>,
    orders: Vec<Order>,
}

impl Facade {
    pub fn new(terms: &Terms, most: usize) -> Facade {
        Facade {
            balancer: Balancer::new(terms),
            tickets: BTreeMap::new(),
            most,
            next: 0,
            rung: BTreeSet::new(),
            timers: Vec::new(),
            orders: Vec::new(),
        }
    }

    /// The whole list, or only the entries that changed.
    pub fn list(&mut self, now: Micros, whole: bool, entries: Vec<Listed>) {
        self.hear(now, Heard::List { whole, entries });
    }

    /// Hosts that are gone and that nothing open names any more; their numbers may stand for others from now on.
    pub fn free(&self) -> Vec<HostId> {
        self.balancer.free()
    }

    /// How many cache hosts the list names, and how many of them are avoided now.
    pub fn pool(&self) -> (usize, usize) {
        self.balancer.pool()
    }

    /// Whether a host takes anything new, by the list as it was last heard: to be asked again before the first byte of a push
    /// that had to wait for its connection.
    pub fn takes(&self, host: HostId) -> bool {
        self.balancer.takes(host)
    }

    /// What was learnt of hosts, for a process that replaces this one.
    pub fn learnt(&self) -> Vec<Learnt> {
        self.balancer.learnt()
    }

    /// The same from the process that this one replaces; hosts that are not listed are passed over.
    pub fn recall(&mut self, now: Micros, learnt: Vec<Learnt>) {
        self.hear(now, Heard::Learnt(learnt));
    }

    pub fn pick(&mut self, now: Micros, ask: Ask) -> (OpId, Vec<Decision>) {
        let op = OpId(self.next);
        self.next = self.next.wrapping_add(1);
        if self.tickets.len() >= self.most {
            return (op, vec![Decision::Nack { come_back: None }]);
        }
        self.tickets.insert(op, Ticket::default());
        let Ask { category, customer, key, write, again, ttl_at } = ask;
        self.hear(now, Heard::Op { op, category, customer, key, write, again, ttl_at });
        (op, self.mail(op))
    }

    /// A push ended; one that was reported before, or never made, changes nothing.
    pub fn report(&mut self, now: Micros, op: OpId, push: PushNo, end: End) -> Vec<Decision> {
        let Some(ticket) = self.tickets.get_mut(&op) else { return Vec::new() };
        let Some((host, sent)) = ticket.out.remove(&push) else { return Vec::new() };
        if end == End::Acked && !ticket.over {
            ticket.over = true;
            ticket.mail.push(Decision::Ack(push));
        }
        let over = ticket.over;
        self.hear(now, Heard::Ended { op, push, host, took: now - sent, end, over });
        self.mail(op)
    }

    /// A push that is out goes on a connection that has carried nothing yet.
    pub fn first(&mut self, now: Micros, op: OpId, push: PushNo) {
        let out = self.tickets.get(&op).and_then(|ticket| ticket.out.get(&push));
        if let Some(&(host, _)) = out {
            self.hear(now, Heard::First { op, push, host });
        }
    }

    /// A push that is out is in doubt: others of its host answer, and it does not.
    pub fn doubt(&mut self, now: Micros, op: OpId, push: PushNo) {
        if self.tickets.get(&op).is_some_and(|ticket| !ticket.over && ticket.out.contains_key(&push)) {
            self.hear(now, Heard::Doubt { op, push });
        }
    }

    /// A host answered on a connection from before its silence.
    pub fn alive(&mut self, now: Micros, host: HostId) {
        self.hear(now, Heard::Alive { host });
    }

    /// This process itself stood still for so long.
    pub fn stopped(&mut self, now: Micros, span: Micros) {
        self.hear(now, Heard::Stopped(span));
    }

    /// Nobody waits for the op any more.
    pub fn dropped(&mut self, now: Micros, op: OpId) -> Vec<Decision> {
        let Some(ticket) = self.tickets.get_mut(&op).filter(|ticket| !ticket.over) else { return Vec::new() };
        ticket.over = true;
        self.hear(now, Heard::Dropped { op });
        self.mail(op)
    }

    /// The process ends: every open op gets its final answer now, in its mailbox, and what is picked from now on is nacked.
    pub fn end(&mut self, now: Micros) {
        self.most = 0;
        let open = self.tickets.iter().filter(|(_, ticket)| !ticket.over).map(|(&op, _)| op);
        for op in open.collect::<Vec<_>>() {
            self.hear(now, Heard::Ending { op });
        }
    }

    /// Runs the timers that are due; when the next one will be.
    pub fn tick(&mut self, now: Micros) -> Option<Micros> {
        while let Some(due) = self.timers.iter().position(|timer| timer.0 <= now) {
            let (_, wake) = self.timers.swap_remove(due);
            self.hear(now, Heard::Wake(wake));
        }
        self.timers.iter().map(|timer| timer.0).min()
    }

    /// Ops for which something was decided that nobody was answered with.
    pub fn rung(&mut self) -> Vec<OpId> {
        std::mem::take(&mut self.rung).into_iter().collect()
    }

    /// Empties an op's mailbox. An op that is over with nothing out is forgotten.
    pub fn mail(&mut self, op: OpId) -> Vec<Decision> {
        self.rung.remove(&op);
        let Some(ticket) = self.tickets.get_mut(&op) else { return Vec::new() };
        let mail = std::mem::take(&mut ticket.mail);
        if ticket.over && ticket.out.is_empty() {
            self.tickets.remove(&op);
        }
        mail
    }

    fn hear(&mut self, now: Micros, heard: Heard) {
        self.balancer.hear(now, heard, &mut self.orders);
        for order in std::mem::take(&mut self.orders) {
            let (op, decision) = match order {
                Order::Push { op, host, timeout } => {
                    let Some(ticket) = self.tickets.get_mut(&op) else { continue };
                    let push = PushNo(ticket.pushes);
                    ticket.pushes += 1;
                    ticket.out.insert(push, (host, now));
                    (op, Decision::Push { push, host, until: now + timeout })
                }
                Order::Nack { op, come_back } => (op, Decision::Nack { come_back }),
                Order::DeadLetter { op } => (op, Decision::DeadLetter),
                Order::CallOff { op, push } => (op, Decision::CallOff(push)),
                Order::Wake { after, wake } => {
                    self.timers.push((now + after, wake));
                    continue;
                }
                // On sockets the list is watched always, whatever the deployment asks for.
                Order::Watch => continue,
            };
            let Some(ticket) = self.tickets.get_mut(&op) else { continue };
            ticket.over |= matches!(decision, Decision::Nack { .. } | Decision::DeadLetter);
            ticket.mail.push(decision);
            self.rung.insert(op);
        }
    }
}
