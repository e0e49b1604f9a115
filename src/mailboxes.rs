//! The messages between a policy's dispatcher and its host trackers, and their queues.
//!
//! Messages are delivered in the order of arrival, those to hosts first.

use std::collections::VecDeque;

use crate::types::{
    AttemptKey, AttemptOutcome, Endpoint, HostId, Micros, PolicyAction, PolicyEvent, RequestId,
};

/// A message from the dispatcher to a host's tracker.
pub(crate) enum HostMessage {
    /// The host's entry of the endpoint list.
    Endpoint(Endpoint),
    /// An attempt was started at the host.
    AttemptStarted(AttemptKey),
    /// An attempt goes on a new connection.
    OnNewConnection(AttemptKey),
    /// An attempt waits until this balancer may open a connection.
    AttemptWaits(AttemptKey),
    /// An attempt no longer waits for this balancer.
    AttemptProceeds(AttemptKey),
    /// An attempt ended; the outcome is the one that counts for the host.
    AttemptEnded { attempt: AttemptKey, outcome: AttemptOutcome, elapsed: Micros },
    /// The host answered on a connection from before it fell silent.
    Alive,
    /// The host's address is another host's.
    Replaced,
    /// A value of the host turned out to be invalid after its attempt had counted as a success.
    ValueInvalid,
    /// This process was stalled for this time.
    ProcessStalled(Micros),
    /// The concurrency limit that the predecessor process learned for the host.
    LearnedLimit(f64),
    /// A sweep over the hosts.
    Sweep(FleetMeasures),
}

/// The measurements of the fleet that a host is compared with.
#[derive(Clone, Copy)]
pub(crate) struct FleetMeasures {
    /// The median over the cache hosts of their mean latency, in microseconds.
    pub(crate) typical_latency: f64,
    /// A quarter of the latency objective, in microseconds: the most that counts as the latency of
    /// an unloaded host.
    pub(crate) quarter_objective: f64,
    /// The mean time between this balancer's sends to one host.
    pub(crate) send_interval: Micros,
    /// Whether limits and key shares are evaluated in this sweep.
    pub(crate) is_evaluation: bool,
}

/// A message to the dispatcher; `Status` is the type that host trackers publish.
pub(crate) enum DispatcherMessage<Status> {
    /// An event from the caller of the policy.
    Event(PolicyEvent),
    /// The current status of a host.
    HostStatus(HostId, Box<Status>),
    /// A host with an attempt of this request in flight does not answer: the request may be sent to
    /// another host.
    HostSuspected(RequestId),
}

/// The next message with its receiver.
pub(crate) enum Delivery<Status> {
    /// A message to the tracker of a host.
    ToHost(HostId, HostMessage),
    /// A message to the dispatcher.
    ToDispatcher(DispatcherMessage<Status>),
}

/// All queues, the resulting actions, and the time of the event that is being handled.
pub(crate) struct Mailboxes<Status> {
    pub(crate) now: Micros,
    pub(crate) dispatcher: VecDeque<DispatcherMessage<Status>>,
    hosts: Vec<VecDeque<HostMessage>>,
    /// The receiver of each message to a host, in the order of arrival.
    receivers: VecDeque<HostId>,
    pub(crate) actions: Vec<PolicyAction>,
}

impl<Status> Mailboxes<Status> {
    /// Creates mailboxes without hosts.
    pub(crate) fn new() -> Mailboxes<Status> {
        Mailboxes {
            now: 0,
            dispatcher: VecDeque::new(),
            hosts: Vec::new(),
            receivers: VecDeque::new(),
            actions: Vec::new(),
        }
    }

    /// Adds a mailbox for the host with the next number.
    pub(crate) fn add_host(&mut self) {
        self.hosts.push(VecDeque::new());
    }

    /// Puts a message into a host's mailbox.
    pub(crate) fn send_to_host(&mut self, host: HostId, message: HostMessage) {
        self.hosts[host.index()].push_back(message);
        self.receivers.push_back(host);
    }

    /// Takes the next message out of its mailbox; `None` if all are empty.
    pub(crate) fn next(&mut self) -> Option<Delivery<Status>> {
        if let Some(host) = self.receivers.pop_front() {
            let message = self.hosts[host.index()].pop_front().expect("each receiver has a message");
            return Some(Delivery::ToHost(host, message));
        }
        self.dispatcher.pop_front().map(Delivery::ToDispatcher)
    }
}
