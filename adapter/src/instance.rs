//! One hosted balancer: the wire's words and the module's ids for the same things.

use std::collections::{BTreeMap, HashMap};

use basaltwood::policy::Balancer;
use basaltwood::types::*;
use basaltwood_settings::{micros, Entry, Info, Words};

use crate::wire::{Event, ListEntry, Rc, Scope, State};

const REPEAT_BIT: u32 = 2;
const WRITE_BIT: u32 = 4;

/// The ops that are open or have pushes out, by the wire's names; both ways are forgotten after that.
#[derive(Default)]
struct Tickets {
    numbers: HashMap<String, OpId>,
    open: BTreeMap<OpId, Ticket>,
    next: u32,
}

struct Ticket {
    text: String,
    out: u32,
    over: bool,
    /// The push whose answer has begun: as on sockets that ends it for the module, and the client has the rest.
    streams: Option<u32>,
}

impl Tickets {
    fn open(&mut self, text: String) -> OpId {
        let op = OpId(self.next);
        self.next += 1;
        self.numbers.insert(text.clone(), op);
        self.open.insert(op, Ticket { text, out: 0, over: false, streams: None });
        op
    }

    fn known(&self, text: &str) -> Result<OpId, String> {
        self.numbers.get(text).copied().ok_or_else(|| format!("unknown op {text}"))
    }

    fn note(&mut self, op: OpId, change: impl FnOnce(&mut Ticket)) {
        let Some(ticket) = self.open.get_mut(&op) else { return };
        change(ticket);
        if ticket.over && ticket.out == 0 {
            self.numbers.remove(&ticket.text);
            self.open.remove(&op);
        }
    }
}

pub struct Instance {
    balancer: Balancer,
    tickets: Tickets,
    words: Words,
    orders: Vec<Order>,
}

impl Instance {
    pub fn start(seed: u64, info: &Info) -> Result<Instance, String> {
        Ok(Instance {
            balancer: Balancer::new(&info.terms(seed)?),
            tickets: Tickets::default(),
            words: Words::new(info),
            orders: Vec::new(),
        })
    }

    pub fn hear(
        &mut self,
        now: Micros,
        event: Event,
        lists: &HashMap<u32, Vec<ListEntry>>,
        outbox: &mut Vec<String>,
    ) -> Result<(), String> {
        let Some(heard) = self.heard(event, lists)? else {
            return Ok(());
        };
        let ended = match &heard {
            Heard::Ended { op, over, .. } => Some((*op, 1, *over)),
            Heard::Dropped { op } => Some((*op, 0, true)),
            _ => None,
        };
        self.balancer.hear(now, heard, &mut self.orders);
        for order in self.orders.drain(..) {
            outbox.push(written(order, &self.tickets.open, &self.words.hosts.texts));
            match order {
                Order::Push { op, .. } => self.tickets.note(op, |ticket| ticket.out += 1),
                Order::Nack { op, .. } | Order::DeadLetter { op } => {
                    self.tickets.note(op, |ticket| ticket.over = true);
                }
                _ => {}
            }
        }
        if let Some((op, pushes, over)) = ended {
            self.tickets.note(op, |ticket| {
                ticket.out = ticket.out.saturating_sub(pushes);
                ticket.over |= over;
            });
        }
        Ok(())
    }

    fn heard(&mut self, event: Event, lists: &HashMap<u32, Vec<ListEntry>>) -> Result<Option<Heard>, String> {
        Ok(Some(match event {
            Event::Update { scope: Scope::Refused, .. } => Heard::ListRefused,
            Event::Update { scope, table } => {
                let list = table.and_then(|table| lists.get(&table)).ok_or("no such list")?;
                Heard::List {
                    whole: scope != Scope::Changes,
                    entries: list.iter().map(|entry| self.listed(entry)).collect(),
                }
            }
            Event::Demand { ticket, lane, project, route_key, drop_dead_ms, bits } => {
                let bits = bits.unwrap_or(0);
                Heard::Op {
                    op: self.tickets.open(ticket),
                    category: self.words.category(&lane)?,
                    customer: project.and_then(|name| self.words.customer(&name)),
                    key: route_key.as_deref().map(Place::of),
                    write: bits & WRITE_BIT != 0,
                    again: bits & REPEAT_BIT != 0,
                    ttl_at: micros(drop_dead_ms),
                }
            }
            Event::FirstByte { ticket, hop, host, wait_time_ms } => {
                let op = self.tickets.known(&ticket)?;
                // It ends twice: here for the module, and for the wire when it is finished.
                self.tickets.note(op, |ticket| (ticket.streams, ticket.out) = (Some(hop), ticket.out + 1));
                let host = HostId(self.words.hosts.known(&host, "host")?);
                let took = micros(wait_time_ms);
                Heard::Ended { op, push: PushNo(hop), host, took, end: End::Acked, over: true }
            }
            Event::Finished { ticket, hop, wait_time_ms, rc, over, host } => {
                let op = self.tickets.known(&ticket)?;
                if self.tickets.open[&op].streams == Some(hop) {
                    self.tickets.note(op, |ticket| ticket.out -= 1);
                    return Ok(None);
                }
                let host = HostId(self.words.hosts.known(&host, "host")?);
                let took = micros(wait_time_ms);
                Heard::Ended { op, push: PushNo(hop), host, took, end: end(rc), over }
            }
            // It may have been ended a moment ago.
            Event::Dropped { ticket } => match self.tickets.known(&ticket) {
                Ok(op) => Heard::Dropped { op },
                Err(_) => return Ok(None),
            },
            Event::TickDue { ctx } => Heard::Wake(wake(&ctx)?),
            _ => return Ok(None),
        }))
    }

    fn listed(&mut self, entry: &ListEntry) -> Listed {
        self.words.listed(&Entry {
            host: &entry.host,
            zone: entry.zone.as_deref(),
            kind: entry.generation_hw.as_deref(),
            cell: entry.pod,
            lifecycle: match entry.lifecycle {
                State::Up => Lifecycle::Up,
                State::Draining => Lifecycle::Draining,
                State::Removed => Lifecycle::Gone,
            },
            weight: entry.weight,
            started: entry.last_start_ms.filter(|&ms| ms != 0.0).map(micros),
        })
    }
}

fn end(rc: Rc) -> End {
    match rc {
        Rc::Success => End::Acked,
        Rc::Failure => End::Error,
        Rc::Overloaded => End::TurnedAway,
        Rc::TimedOut => End::TimedOut,
        Rc::Unreachable => End::Unreachable,
        Rc::Broken => End::Broken,
        Rc::Withdrawn => End::CalledOff,
        Rc::Void => End::Void,
        Rc::Absent => End::Miss,
    }
}

fn wake(ctx: &str) -> Result<Wake, String> {
    match ctx {
        "sweep" => Ok(Wake::Sweep),
        "watch" => Ok(Wake::Watch),
        _ => Err(format!("unknown timer {ctx}")),
    }
}

/// Whole microseconds as milliseconds, exact to the last digit.
fn millis(span: Micros) -> String {
    format!("{}{}.{:03}", if span < 0 { "-" } else { "" }, span.abs() / 1000, span.abs() % 1000)
}

fn written(order: Order, tickets: &BTreeMap<OpId, Ticket>, hosts: &[String]) -> String {
    let ticket = |op: OpId| serde_json::Value::from(tickets[&op].text.as_str());
    match order {
        Order::Push { op, host, timeout } => format!(
            r#"{{"type":"HAND_OFF","ticket":{},"host":{},"timeoutMs":{}}}"#,
            ticket(op),
            serde_json::Value::from(hosts[host.0 as usize].as_str()),
            millis(timeout)
        ),
        Order::Nack { op, come_back } => format!(
            r#"{{"type":"BOUNCE","ticket":{},"coolDownMs":{}}}"#,
            ticket(op),
            millis(come_back.unwrap_or(0))
        ),
        Order::DeadLetter { op } => format!(r#"{{"type":"FAIL","ticket":{}}}"#, ticket(op)),
        Order::CallOff { op, push } => {
            format!(r#"{{"type":"STOP_ATTEMPT","ticket":{},"hop":{}}}"#, ticket(op), push.0)
        }
        Order::Wake { after, wake } => {
            let ctx = match wake {
                Wake::Sweep => "sweep",
                Wake::Watch => "watch",
            };
            format!(r#"{{"type":"WAKE_AT","sleepForMs":{},"ctx":"{ctx}"}}"#, millis(after))
        }
        Order::Watch => r#"{"type":"FOLLOW","want":true}"#.to_owned(),
    }
}
