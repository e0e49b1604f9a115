//! A testbed that starts balancers, loads them, injects faults and audits their behaviour: an
//! emulated fleet with its origin and discovery ([`world`]), an open-loop load generator
//! ([`load`]), experiments with their faults ([`experiment`]), a ledger of everything observed on
//! the sockets ([`ledger`]) and an audit of the ledger against the four rules ([`audit`]).
//!
//! [`play::play`] plays one arm of an experiment with one seed. Balancers run as separate programs
//! and are reached over sockets only: the testbed uses none of their internals and makes no
//! decision for them. All addresses are loopback (127.0.0.0/8), and a run ends by itself.

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
