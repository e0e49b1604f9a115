//! When a balancer calls discovery for the list of hosts, from which version on, and with which
//! timeouts.
//!
//! Pure: no I/O, no clock. Randomness comes from a seed, time is the caller's. The caller makes the
//! calls, reports the outcome of each, and waits as long as the schedule says.
//!
//! For each call read [`WatchSchedule::known_version`], [`WatchSchedule::call_timeout`],
//! [`WatchSchedule::response_timeout`] and [`WatchSchedule::hold_for`]; after it report
//! [`WatchSchedule::succeeded`], or [`WatchSchedule::failed`], which returns the pause before the
//! next call. Report [`WatchSchedule::discovery_moved`] when discovery has another address from now
//! on. The first call is due at once: news that discovery has for a balancer without an open call
//! counts as delivered, and the rule on draining hosts binds from then on.
//!
//! [`StartTimes`] puts the starts that a list gives by the wall clock on the caller's own clock.
//!
//! It never reads a list, never gives up, and never makes a call more expensive because an earlier
//! one was refused.
//!
//! Discovery serves its calls in order. When it has more calls than it can serve, all are late, and
//! the refused ones return at once unless they are held back: a rate that is harmless from one
//! balancer keeps discovery overloaded for ever when a hundred balancers do it together. So what is
//! bounded here is the sum over all balancers.

mod error;
mod schedule;
mod start_times;

pub use error::WatchError;
pub use schedule::{WatchConfig, WatchSchedule, MAX_CALL_INTERVAL};
pub use start_times::StartTimes;
