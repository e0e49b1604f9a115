//! The events that a policy handles, and the actions that it returns.

use super::{
    AttemptNumber, Endpoint, HostId, LearnedLimit, Micros, RequestClassId, RequestId, RingPosition, TenantId,
};

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The host served the request.
    Succeeded,
    /// The host answered with an error; the request may have run.
    Error,
    /// The host rejected the request before running it, because the host is full or draining.
    Rejected,
    /// No answer came in time; the request may have run.
    TimedOut,
    /// The request did not run: connecting failed, or was not tried since the host's circuit is
    /// open after several failures, or the request could not be written completely in time. Each of
    /// these counts against the host.
    Unreachable,
    /// The connection was lost with the attempt in flight; the host may be down.
    ConnectionLost,
    /// The connection was lost through its own fault with the attempt in flight: the request may
    /// have run, and the host is healthy.
    ConnectionFault,
    /// Cancelled by the policy.
    Cancelled,
    /// Nothing was sent, and the host is not to blame.
    NotSent,
    /// Nothing was sent, since this balancer is at its limit of connection attempts; trying another
    /// host would not help.
    ConnectsAtLimit,
    /// The host has no value for the key.
    Miss,
}

impl AttemptOutcome {
    /// Whether the host answered at all.
    pub fn answered(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Succeeded
                | AttemptOutcome::Error
                | AttemptOutcome::Rejected
                | AttemptOutcome::Miss
        )
    }

    /// Whether the host or the network path to it may be down.
    pub fn suggests_outage(self) -> bool {
        matches!(
            self,
            AttemptOutcome::TimedOut | AttemptOutcome::Unreachable | AttemptOutcome::ConnectionLost
        )
    }

    /// Whether the request is known not to have run.
    pub fn proves_not_run(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Rejected
                | AttemptOutcome::Unreachable
                | AttemptOutcome::NotSent
                | AttemptOutcome::ConnectsAtLimit
                | AttemptOutcome::Miss
        )
    }
}

/// An event that a policy handles.
#[derive(Clone, Debug)]
pub enum PolicyEvent {
    /// The endpoint list was received.
    Endpoints {
        /// Whether it names every host, or only those that changed.
        complete: bool,
        /// The listed hosts.
        endpoints: Vec<Endpoint>,
    },
    /// The concurrency limits that the predecessor process had learned.
    LimitsLearned(Vec<LearnedLimit>),
    /// A discovery call failed, or the watch ended.
    DiscoveryFailed,
    /// A request was received.
    Request {
        /// The number of the request.
        request: RequestId,
        /// The request class.
        class: RequestClassId,
        /// The tenant, if known.
        tenant: Option<TenantId>,
        /// The ring position of the key, if the request has one.
        key: Option<RingPosition>,
        /// Whether the request changes the key's value.
        is_write: bool,
        /// Whether the client marked the request as its own retry.
        is_retry: bool,
        /// When the client stops waiting.
        deadline: Micros,
    },
    /// An attempt goes on a connection that has carried no request yet. Setting up the connection
    /// adds to the latency, so the wait says nothing about the host.
    NewConnection {
        /// The request of the attempt.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// The host of the attempt.
        host: HostId,
    },
    /// An attempt waits until this balancer may open a connection; the wait says nothing about the
    /// host.
    AttemptWaits {
        /// The request of the attempt.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// The host of the attempt.
        host: HostId,
    },
    /// An attempt no longer waits for this balancer: the host's latency counts from now.
    AttemptProceeds {
        /// The request of the attempt.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// The host of the attempt.
        host: HostId,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request of the attempt.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// The host of the attempt.
        host: HostId,
        /// How long the attempt was in flight.
        elapsed: Micros,
        /// How the attempt ended.
        outcome: AttemptOutcome,
        /// Whether the request needs no further attempt: it is answered, or its client is gone.
        finished: bool,
    },
    /// The client of a request has disconnected.
    ClientGone {
        /// The request.
        request: RequestId,
    },
    /// The deadline of a request has passed without a final answer.
    DeadlinePassed {
        /// The request.
        request: RequestId,
    },
    /// The process shuts down and can no longer wait for the request's attempts.
    ShuttingDown {
        /// The request.
        request: RequestId,
    },
    /// An attempt may be lost with its connection: later attempts at the same host were answered.
    AttemptInDoubt {
        /// The request of the attempt.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// The host answered on a connection from before it fell silent: it was not restarted.
    HostAlive {
        /// The host.
        host: HostId,
    },
    /// A host has been replaced: its address is that of another one, and the list dropped it, or it started
    /// before.
    HostReplaced {
        /// The host that is no longer there.
        host: HostId,
    },
    /// A response that was reported as a success turned out to be invalid while its value was passed on:
    /// the attempt has run and failed.
    ValueInvalid {
        /// The host.
        host: HostId,
    },
    /// This process was stalled for this time; silence of a host meanwhile is no evidence.
    ProcessStalled(Micros),
    /// A timer that the policy set is due.
    TimerFired(Timer),
}

/// A timer of the policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    /// The next sweep over all hosts.
    Sweep,
    /// The next discovery call.
    Watch,
}

/// The state of a host after a change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostChange {
    /// The host.
    pub host: HostId,
    /// Whether the host is listed as accepting requests.
    pub is_up: bool,
    /// Whether the host is suspected: the evidence against it, including that of overdue attempts,
    /// rose above the threshold and was not cleared since.
    pub is_suspected: bool,
    /// Whether the host is warming up.
    pub is_warming_up: bool,
    /// The evidence against the host's health from attempts that ended, in typical latencies.
    /// Overdue attempts are not included, so it is 0 for a suspected host that only hangs.
    pub failure_evidence: f64,
}

/// Why a request ends without being served. A rejection becomes a failure if trying again could
/// make the request take effect twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// Rejected: the concurrency limit of the whole fleet is reached.
    FleetAtLimit,
    /// Rejected: the selected host is at its concurrency limit, and so is the next one, or no other
    /// host is usable, or the retry budget is too low for a spill; or the origin is at its limit.
    HostsAtLimit,
    /// Rejected: no host is up, or each one that was assessed was tried, is avoided with an attempt
    /// in flight, is slow or warming up and at its limit, or is warming up after another was tried;
    /// or no origin is up.
    NoUsableHost,
    /// Rejected: a rule forbade sending to the host of every selection that the request may have,
    /// most often as these hosts are in slow start; or a rule forbade sending to the origin.
    NotAdmitted,
    /// Rejected: this balancer is at its limit of connection attempts.
    ConnectsAtLimit,
    /// Rejected: the remaining time is shorter than the minimum latency of the fleet or the origin.
    TooLittleTime,
    /// Failed: the remaining time is too short for another attempt, or the deadline has passed.
    OutOfTime,
    /// Failed: the request has used its retries, or the retry budget is empty.
    RetriesExhausted,
    /// Failed: the key got errors from two hosts, and no value since.
    KeyFails,
    /// Rejected: the event loop is late, so new requests are rejected until it has caught up.
    Overloaded,
    /// Rejected: the process shuts down.
    ShuttingDown,
    /// Rejected: the limit of open requests is reached.
    TooManyOpen,
}

impl EndReason {
    /// The name of the reason in the `event loop` log line.
    pub fn name(self) -> &'static str {
        match self {
            EndReason::FleetAtLimit => "fleet_at_limit",
            EndReason::HostsAtLimit => "hosts_at_limit",
            EndReason::NoUsableHost => "no_usable_host",
            EndReason::NotAdmitted => "not_admitted",
            EndReason::ConnectsAtLimit => "connects_at_limit",
            EndReason::TooLittleTime => "too_little_time",
            EndReason::OutOfTime => "out_of_time",
            EndReason::RetriesExhausted => "retries_exhausted",
            EndReason::KeyFails => "key_fails",
            EndReason::Overloaded => "overloaded",
            EndReason::ShuttingDown => "shutting_down",
            EndReason::TooManyOpen => "too_many_open",
        }
    }
}

/// An action that a policy returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyAction {
    /// Send the request to a host.
    StartAttempt {
        /// The request.
        request: RequestId,
        /// The host to send to.
        host: HostId,
        /// How long the attempt may take.
        timeout: Micros,
    },
    /// Give the client its final answer: the request was not served, and trying again is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// The earliest time to try again, counted from now.
        retry_after: Option<Micros>,
        /// Why the request is not served.
        reason: EndReason,
    },
    /// Give the client its final answer: the request failed, and may have taken effect.
    Fail {
        /// The request.
        request: RequestId,
        /// Why the request is not served.
        reason: EndReason,
    },
    /// Stop waiting for an attempt.
    CancelAttempt {
        /// The request of the attempt.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// Report [`PolicyEvent::TimerFired`] after a delay.
    SetTimer {
        /// The delay.
        after: Micros,
        /// The timer to report.
        timer: Timer,
    },
    /// Subscribe to changes of the endpoint list from now on.
    WatchDiscovery,
}
