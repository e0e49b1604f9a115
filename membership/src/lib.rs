//! Schedules a balancer's calls to discovery for the list of hosts: when to call, from which
//! version on, and with which timeouts.
//!
//! Pure: no I/O, no clock. Randomness comes from a seed, the time from the caller. The caller makes
//! the calls, reports the outcome of each, and waits for the pauses that the schedule returns.
//!
//! Before each call read [`WatchSchedule::known_version`], [`WatchSchedule::call_timeout`],
//! [`WatchSchedule::response_timeout`] and [`WatchSchedule::hold_for`]. After it report
//! [`WatchSchedule::succeeded`], or [`WatchSchedule::failed`], which returns the pause before the
//! next call. Report [`WatchSchedule::discovery_moved`] when discovery's address changes. The first
//! call is due at once: a change that discovery has while a balancer has no call open counts as
//! delivered, and from then on a draining host in it must get no requests.
//!
//! [`StartTimes`] converts start times that a list gives by the wall clock to the caller's clock.
//!
//! The schedule never reads a list, never gives up, and never makes a call more expensive because
//! an earlier one was refused.
//!
//! Discovery serves its calls in order. When it gets more calls than it can serve, all are answered
//! late, and refused balancers call again at once unless they are held back: a rate that is
//! harmless from one balancer keeps discovery overloaded indefinitely when a hundred balancers use
//! it together. So the schedule bounds the sum of the calls of all balancers.

mod error;
mod schedule;
mod start_times;

pub use error::WatchError;
pub use schedule::{WatchConfig, WatchSchedule, MAX_CALL_INTERVAL};
pub use start_times::StartTimes;
