//! Regions on sockets: which hosts are used under an operators' map, and to which no connection is
//! opened.

#[path = "../../../tests/common/mod.rs"]
mod common;
mod fleet;
mod hosts;
mod maps;
mod minimum;
#[path = "../stand_ins/mod.rs"]
mod stand_ins;
