//! Every decision and every tuned constant of a balancer.
//!
//! [`Policy::handle`] takes each event in turn and adds the actions to be done, purely: no clock,
//! no I/O, no global state. The vocabulary is in `types`.
//!
//! Each host has a tracker (`HostTracker`), and a dispatcher (`Dispatcher`) holds the requests: they share
//! nothing but messages. `admission.rs` gates each attempt and final answer as it is decided,
//! `send_permit.rs` each attempt once more before its first byte; `retry_safety.rs` is rule 2.

use crate::dispatcher::Dispatcher;
use crate::host_tracker::{HostStatus, HostTracker, Mailboxes};
use crate::mailboxes::{Delivery, DispatcherMessage};
use crate::types::{HostId, Micros, PolicyAction, PolicyConfig, PolicyEvent};

mod admission;
pub(crate) mod concurrency_limit;
pub(crate) mod constants;
mod dispatch;
mod fleet;
mod host;
pub(crate) mod hot_keys;
mod retry_safety;
mod selection;
mod send_permit;
pub(crate) mod zones;

pub use retry_safety::{check_repeat, rejection_is_harmless, PossibleRun, Repeat};
pub use send_permit::{SendPermit, SendRefusal};

/// One balancer's policy.
pub struct Policy {
    mailboxes: Mailboxes,
    pub(crate) dispatcher: Dispatcher,
    pub(crate) hosts: Vec<HostTracker>,
}

impl Policy {
    /// A policy that knows no host yet.
    pub fn new(config: &PolicyConfig) -> Policy {
        Policy { mailboxes: Mailboxes::new(), dispatcher: Dispatcher::new(config), hosts: Vec::new() }
    }

    /// Takes one event and adds what is to be done to `actions`.
    pub fn handle(&mut self, now: Micros, event: PolicyEvent, actions: &mut Vec<PolicyAction>) {
        self.mailboxes.now = now;
        if let PolicyEvent::Endpoints { endpoints, .. } = &event {
            let known = endpoints.iter().map(|endpoint| endpoint.host.index() + 1).max().unwrap_or(0);
            (self.hosts.len()..known).for_each(|index| self.add_host(HostId(index as u32)));
        }
        self.mailboxes.dispatcher.push_back(DispatcherMessage::Event(event));
        let Policy { mailboxes, dispatcher, hosts } = self;
        while let Some(delivery) = mailboxes.next() {
            match delivery {
                Delivery::ToHost(host, message) => hosts[host.index()].handle(message, mailboxes),
                Delivery::ToDispatcher(message) => dispatcher.handle(message, mailboxes),
            }
        }
        actions.append(&mut mailboxes.actions);
    }

    /// How late the process's event loop is now; 0 where there is none.
    pub fn set_loop_lag(&mut self, lag: Micros) {
        self.dispatcher.loop_lag = lag;
    }

    fn add_host(&mut self, id: HostId) {
        self.hosts.push(self.dispatcher.new_tracker(id));
        self.mailboxes.add_host();
        self.dispatcher.host_statuses.push(HostStatus::default());
    }
}
