//! Helpers for all tests: [`policy`] for decisions, [`peers`] and [`program`] for sockets.
#![allow(dead_code, unused_imports)] // each test file uses only some of the helpers

mod peers;
mod policy;
mod program;

pub use peers::*;
pub use policy::*;
pub use program::*;
