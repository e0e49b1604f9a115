//! An emulated world in which a balancer can be started, loaded, hurt and judged: a fleet with its
//! origin and discovery ([`world`]), an open-loop load generator ([`load`]), experiments with their
//! faults ([`experiment`]), a ledger of all that crossed the sockets ([`ledger`]) and the audit of
//! the four rules over it ([`audit`]).
//!
//! [`play::play`] plays one arm of an experiment with one seed. The testbed starts balancers as
//! programs and speaks to them over sockets; it never uses their insides, and it decides nothing
//! for them. Everything stays on loopback addresses (127.0.0.0/8), and a run ends by itself.

pub mod audit;
pub mod balancers;
pub mod compare;
mod discovery_calls;
pub mod experiment;
pub mod figures;
pub mod lateness;
pub mod ledger;
pub mod load;
pub mod measure;
pub mod play;
pub mod report;
pub mod router;
pub mod scale;
pub mod settings;
pub mod soak;
pub mod thread_stats;
pub mod time;
pub mod world;
