//! One hosted balancer: the wire's names and the module's ids for the same things.

use std::collections::{BTreeMap, HashMap};

use basaltwood::policy::Policy;
use basaltwood::types::*;
use basaltwood_settings::{micros, EndpointRecord, NameTable, OperatorSettings};

use crate::wire::{Event, ListEntry, Rc, Scope, State};

const REPEAT_BIT: u32 = 2;
const WRITE_BIT: u32 = 4;

/// The ops that are open or have pushes out, by the wire's names; both ways are forgotten after that.
#[derive(Default)]
struct Tickets {
    numbers: HashMap<String, RequestId>,
    open: BTreeMap<RequestId, Ticket>,
    next: u32,
}

struct Ticket {
    text: String,
    out: u32,
    finished: bool,
    /// The push whose answer has begun: as on sockets that ends it for the module, and the client has the rest.
    streams: Option<u32>,
}

impl Tickets {
    fn open(&mut self, text: String) -> RequestId {
        let request = RequestId(self.next);
        self.next += 1;
        self.numbers.insert(text.clone(), request);
        self.open.insert(request, Ticket { text, out: 0, finished: false, streams: None });
        request
    }

    fn known(&self, text: &str) -> Result<RequestId, String> {
        self.numbers.get(text).copied().ok_or_else(|| format!("unknown op {text}"))
    }

    fn note(&mut self, request: RequestId, change: impl FnOnce(&mut Ticket)) {
        let Some(ticket) = self.open.get_mut(&request) else { return };
        change(ticket);
        if ticket.finished && ticket.out == 0 {
            self.numbers.remove(&ticket.text);
            self.open.remove(&request);
        }
    }
}

pub struct Instance {
    policy: Policy,
    tickets: Tickets,
    names: NameTable,
    actions: Vec<PolicyAction>,
}

impl Instance {
    pub fn start(seed: u64, settings: &OperatorSettings) -> Result<Instance, String> {
        Ok(Instance {
            policy: Policy::new(&settings.policy_config(seed).map_err(|error| error.to_string())?),
            tickets: Tickets::default(),
            names: NameTable::new(settings),
            actions: Vec::new(),
        })
    }

    pub fn handle(
        &mut self,
        now: Micros,
        event: Event,
        lists: &HashMap<u32, Vec<ListEntry>>,
        outbox: &mut Vec<String>,
    ) -> Result<(), String> {
        let Some(policy_event) = self.policy_event(event, lists)? else {
            return Ok(());
        };
        let ended = match &policy_event {
            PolicyEvent::AttemptEnded { request, finished, .. } => Some((*request, 1, *finished)),
            PolicyEvent::ClientGone { request } => Some((*request, 0, true)),
            _ => None,
        };
        self.policy.handle(now, policy_event, &mut self.actions);
        for action in self.actions.drain(..) {
            outbox.push(written(action, &self.tickets.open, &self.names.hosts.names));
            match action {
                PolicyAction::StartAttempt { request, .. } => {
                    self.tickets.note(request, |ticket| ticket.out += 1)
                }
                PolicyAction::Reject { request, .. } | PolicyAction::Fail { request } => {
                    self.tickets.note(request, |ticket| ticket.finished = true);
                }
                _ => {}
            }
        }
        if let Some((request, attempts, finished)) = ended {
            self.tickets.note(request, |ticket| {
                ticket.out = ticket.out.saturating_sub(attempts);
                ticket.finished |= finished;
            });
        }
        Ok(())
    }

    fn policy_event(
        &mut self,
        event: Event,
        lists: &HashMap<u32, Vec<ListEntry>>,
    ) -> Result<Option<PolicyEvent>, String> {
        Ok(Some(match event {
            Event::Update { scope: Scope::Refused, .. } => PolicyEvent::DiscoveryFailed,
            Event::Update { scope, table } => {
                let list = table.and_then(|table| lists.get(&table)).ok_or("no such list")?;
                PolicyEvent::Endpoints {
                    complete: scope != Scope::Changes,
                    endpoints: list.iter().map(|entry| self.endpoint(entry)).collect(),
                }
            }
            Event::Demand { ticket, lane, project, route_key, drop_dead_ms, bits } => {
                let bits = bits.unwrap_or(0);
                PolicyEvent::Request {
                    request: self.tickets.open(ticket),
                    class: self.names.class_id(&lane).map_err(|error| error.to_string())?,
                    tenant: project.and_then(|name| self.names.tenant_id(&name)),
                    key: route_key.as_deref().map(RingPosition::of),
                    is_write: bits & WRITE_BIT != 0,
                    is_retry: bits & REPEAT_BIT != 0,
                    deadline: micros(drop_dead_ms),
                }
            }
            Event::FirstByte { ticket, hop, host, wait_time_ms } => {
                let request = self.tickets.known(&ticket)?;
                // It ends twice: here for the module, and for the wire when it is finished.
                self.tickets
                    .note(request, |ticket| (ticket.streams, ticket.out) = (Some(hop), ticket.out + 1));
                let host = HostId(self.names.hosts.lookup(&host, "host").map_err(|error| error.to_string())?);
                let elapsed = micros(wait_time_ms);
                PolicyEvent::AttemptEnded {
                    request,
                    attempt: AttemptNumber(hop),
                    host,
                    elapsed,
                    outcome: AttemptOutcome::Succeeded,
                    finished: true,
                }
            }
            Event::Finished { ticket, hop, wait_time_ms, rc, over: finished, host } => {
                let request = self.tickets.known(&ticket)?;
                if self.tickets.open[&request].streams == Some(hop) {
                    self.tickets.note(request, |ticket| ticket.out -= 1);
                    return Ok(None);
                }
                let host = HostId(self.names.hosts.lookup(&host, "host").map_err(|error| error.to_string())?);
                let elapsed = micros(wait_time_ms);
                PolicyEvent::AttemptEnded {
                    request,
                    attempt: AttemptNumber(hop),
                    host,
                    elapsed,
                    outcome: outcome(rc),
                    finished,
                }
            }
            // It may have been ended a moment ago.
            Event::Dropped { ticket } => match self.tickets.known(&ticket) {
                Ok(request) => PolicyEvent::ClientGone { request },
                Err(_) => return Ok(None),
            },
            Event::TickDue { ctx } => PolicyEvent::TimerFired(timer(&ctx)?),
            _ => return Ok(None),
        }))
    }

    fn endpoint(&mut self, entry: &ListEntry) -> Endpoint {
        self.names.endpoint(&EndpointRecord {
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
            started_at: entry.last_start_ms.filter(|&ms| ms != 0.0).map(micros),
        })
    }
}

fn outcome(rc: Rc) -> AttemptOutcome {
    match rc {
        Rc::Success => AttemptOutcome::Succeeded,
        Rc::Failure => AttemptOutcome::Error,
        Rc::Overloaded => AttemptOutcome::Rejected,
        Rc::TimedOut => AttemptOutcome::TimedOut,
        Rc::Unreachable => AttemptOutcome::Unreachable,
        Rc::Broken => AttemptOutcome::ConnectionLost,
        Rc::Withdrawn => AttemptOutcome::Cancelled,
        Rc::Void => AttemptOutcome::NotSent,
        Rc::Absent => AttemptOutcome::Miss,
    }
}

fn timer(ctx: &str) -> Result<Timer, String> {
    match ctx {
        "sweep" => Ok(Timer::Sweep),
        "watch" => Ok(Timer::Watch),
        _ => Err(format!("unknown timer {ctx}")),
    }
}

/// Whole microseconds as milliseconds, exact to the last digit.
fn millis(span: Micros) -> String {
    format!("{}{}.{:03}", if span < 0 { "-" } else { "" }, span.abs() / 1000, span.abs() % 1000)
}

fn written(action: PolicyAction, tickets: &BTreeMap<RequestId, Ticket>, hosts: &[String]) -> String {
    let ticket = |request: RequestId| serde_json::Value::from(tickets[&request].text.as_str());
    match action {
        PolicyAction::StartAttempt { request, host, timeout } => format!(
            r#"{{"type":"HAND_OFF","ticket":{},"host":{},"timeoutMs":{}}}"#,
            ticket(request),
            serde_json::Value::from(hosts[host.0 as usize].as_str()),
            millis(timeout)
        ),
        PolicyAction::Reject { request, retry_after } => format!(
            r#"{{"type":"BOUNCE","ticket":{},"coolDownMs":{}}}"#,
            ticket(request),
            millis(retry_after.unwrap_or(0))
        ),
        PolicyAction::Fail { request } => format!(r#"{{"type":"FAIL","ticket":{}}}"#, ticket(request)),
        PolicyAction::CancelAttempt { request, attempt } => {
            format!(r#"{{"type":"STOP_ATTEMPT","ticket":{},"hop":{}}}"#, ticket(request), attempt.0)
        }
        PolicyAction::SetTimer { after, timer } => {
            let ctx = match timer {
                Timer::Sweep => "sweep",
                Timer::Watch => "watch",
            };
            format!(r#"{{"type":"WAKE_AT","sleepForMs":{},"ctx":"{ctx}"}}"#, millis(after))
        }
        PolicyAction::WatchDiscovery => r#"{"type":"FOLLOW","want":true}"#.to_owned(),
    }
}
