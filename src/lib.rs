//! Decisions of a router for fleets of cache servers: `rules` decides, `types` is its interface,
//! `ring` orders hosts, `histogram` measures, `facade` puts it all in blocking style. No clock, no I/O, no global state.

pub mod histogram;
pub mod policy;
mod ring;
pub mod router;
pub mod types;
