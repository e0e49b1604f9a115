//! One hosted balancer: the wire's words and the module's ids for the same things.

use std::collections::{BTreeMap, HashMap};

use basaltwood::rules::Balancer;
use basaltwood::types::*;

use crate::wire::{micros, Event, Info, ListEntry, Rc, Scope, State};

const REPEAT_BIT: u32 = 2;
const WRITE_BIT: u32 = 4;

/// Numbers texts in the order in which they are first met.
#[derive(Default)]
struct Names {
    numbers: HashMap<String, u32>,
    texts: Vec<String>,
}

impl Names {
    fn number(&mut self, text: &str) -> u32 {
        if let Some(&number) = self.numbers.get(text) {
            return number;
        }
        let number = self.texts.len() as u32;
        self.numbers.insert(text.to_owned(), number);
        self.texts.push(text.to_owned());
        number
    }

    fn known(&self, text: &str, what: &str) -> Result<u32, String> {
        self.numbers.get(text).copied().ok_or_else(|| format!("unknown {what} {text}"))
    }
}

fn names(texts: impl IntoIterator<Item = String>) -> Names {
    let mut names = Names::default();
    texts.into_iter().for_each(|text| {
        names.number(&text);
    });
    names
}

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
}

impl Tickets {
    fn open(&mut self, text: String) -> OpId {
        let op = OpId(self.next);
        self.next += 1;
        self.numbers.insert(text.clone(), op);
        self.open.insert(op, Ticket { text, out: 0, over: false });
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
    hosts: Names,
    zones: Names,
    categories: Names,
    customers: Names,
    origin: Option<String>,
    orders: Vec<Order>,
}

impl Instance {
    pub fn start(seed: u64, info: Info) -> Result<Instance, String> {
        let terms = terms(seed, &info)?;
        let kind = info.domain.as_ref().and_then(|domain| domain.origin_kind).unwrap_or(-1);
        Ok(Instance {
            balancer: Balancer::new(&terms),
            tickets: Tickets::default(),
            hosts: Names::default(),
            zones: names(info.dcs),
            categories: names(info.categories.into_iter().map(|category| category.name)),
            customers: names(info.tenants.unwrap_or_default().into_iter().map(|tenant| tenant.name)),
            origin: usize::try_from(kind).ok().and_then(|kind| info.machine_types.into_iter().nth(kind)),
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
            outbox.push(written(order, &self.tickets.open, &self.hosts.texts));
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
                    category: CategoryId(self.categories.known(&lane, "category")? as u16),
                    customer: project
                        .and_then(|name| self.customers.numbers.get(&name).map(|&n| CustomerId(n as u16))),
                    key: route_key.as_deref().map(Place::of),
                    write: bits & WRITE_BIT != 0,
                    again: bits & REPEAT_BIT != 0,
                    ttl_at: micros(drop_dead_ms),
                }
            }
            Event::FirstByte { ticket, hop } => {
                Heard::Streaming { op: self.tickets.known(&ticket)?, push: PushNo(hop) }
            }
            Event::Finished { ticket, hop, wait_time_ms, rc, over, host } => Heard::Ended {
                op: self.tickets.known(&ticket)?,
                push: PushNo(hop),
                host: HostId(self.hosts.known(&host, "host")?),
                took: micros(wait_time_ms),
                end: end(rc),
                over,
            },
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
        Listed {
            host: HostId(self.hosts.number(&entry.host)),
            place: Place::of(&entry.host),
            origin: self.origin.is_some() && entry.generation_hw == self.origin,
            zone: ZoneId(entry.zone.as_deref().map_or(0, |zone| self.zones.number(zone))),
            cell: CellId(entry.pod.unwrap_or(0)),
            lifecycle: match entry.lifecycle {
                State::Up => Lifecycle::Up,
                State::Draining => Lifecycle::Draining,
                State::Removed => Lifecycle::Gone,
            },
            weight: entry.weight.unwrap_or(1.0),
            started: entry.last_start_ms.filter(|&ms| ms != 0.0).map(micros),
        }
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

fn terms(seed: u64, info: &Info) -> Result<Terms, String> {
    if info.categories.is_empty() {
        return Err("no categories".to_owned());
    }
    let category = |category: &crate::wire::Category| {
        let repeats = match (category.semantics.as_str(), category.window_ms.map(micros)) {
            ("retryable", _) => Repeats::Redeliverable,
            ("fragile", _) => Repeats::AtMostOnce,
            ("dedup", Some(window)) if window > 0 => Repeats::Deduplicated {
                group: match category.group.as_deref() {
                    Some("zone") => Group::Zone,
                    Some("cell") => Group::Cell,
                    _ => Group::All,
                },
                window,
            },
            ("dedup", _) => return Err(format!("category {}: no window for repeats", category.name)),
            (other, _) => return Err(format!("category {}: unknown kind {other}", category.name)),
        };
        Ok(CategoryTerms {
            target_latency: micros(category.target_latency_ms),
            ttl: micros(category.ttl_ms),
            benefit: category.benefit.unwrap_or(1.0),
            late_benefit: category.tardy_benefit.unwrap_or(0.0),
            repeats,
        })
    };
    Ok(Terms {
        seed,
        balancers: info.group_size.unwrap_or(1).max(1),
        allowed: Allowed {
            aside: info.domain.as_ref().and_then(|domain| domain.mode.as_deref()) == Some("aside"),
            list_asked: info.discovery.as_deref() == Some("ask"),
            weights_steady: !matches!(info.weights.as_deref(), Some("live" | "off") | None),
            max_pushes: info.limits.max_pushes,
            second_copies: info.limits.may_duplicate,
            call_off: info.limits.cancel,
        },
        come_back: info
            .limits
            .max_retry_after_ms
            .filter(|&ms| info.limits.retry_after && ms > 0.0)
            .map(micros),
        tick: micros(info.tick_ms.unwrap_or(1.0)),
        excess_benefit: info.excess_benefit.unwrap_or(1.0),
        cold: ColdTerms {
            from: info.invariants.cold_from,
            warm_within: micros(info.invariants.warm_within_ms),
            fall_multiple: info.invariants.tip_multiple,
            fall_window: micros(info.invariants.tip_after_ms),
        },
        categories: info.categories.iter().map(category).collect::<Result<_, _>>()?,
        customers: info
            .tenants
            .iter()
            .flatten()
            .map(|tenant| CustomerTerms { quota_per_s: tenant.quota_per_s.unwrap_or(0.0) })
            .collect(),
    })
}
