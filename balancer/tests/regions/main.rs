//! Rings by region on sockets: with an operators' map, which hosts are used, and which are never
//! connected to.

#[path = "../../../tests/common/mod.rs"]
mod common;
mod fleet;
mod hosts;
mod maps;
mod minimum;
#[path = "../stand_ins/mod.rs"]
mod stand_ins;
