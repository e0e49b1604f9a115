//! The decisions of a router for fleets of cache servers. No clock, no I/O, no global state.
//!
//! [`policy`] selects hosts, decides on retries and rejects requests. [`types`] holds the types of
//! its interface, and [`router`] wraps it in method calls for code that serves sockets. The other
//! modules keep the policy's state and measurements.

mod activity;
mod backoff;
mod dispatcher;
mod histogram;
mod host_marks;
mod host_tracker;
mod key_set;
mod leaky_bucket;
mod load_counts;
mod mailboxes;
mod open_request;
pub mod policy;
mod policy_views;
mod retry_budget;
mod ring;
mod ring_points;
pub mod router;
mod send_windows;
pub mod types;
