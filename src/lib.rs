//! Decisions of a router for fleets of cache servers: `rules` decides, `types` is its interface,
//! `ring` orders hosts, `histogram` measures, `facade` puts it all in blocking style. No clock, no I/O, no global state.

pub mod facade;
pub mod histogram;
mod ring;
pub mod rules;
pub mod types;
mod zones;
