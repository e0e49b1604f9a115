//! Clients: their connections, the commands that they send over RESP2, and the replies in the order
//! of the commands.
//!
//! [`accept()`] takes connections in; [`connection`] serves one; [`input`] reads commands, and [`command`] turns
//! one into a request for the policy; [`pending`] holds the replies that are owed, and [`reply`] writes them.

mod accept;
mod closing;
mod command;
mod connection;
mod idle_close;
mod incoming_value;
mod input;
mod pending;
mod reply;
mod reply_audit;
mod write_check;

pub use accept::accept;
