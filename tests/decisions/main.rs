//! Tests of the decisions of a balancer, most of them as short readable traces.

#[path = "../common/mod.rs"]
mod common;

mod endpoints;
mod host_health;
mod large_fleets;
mod limits;
mod retries;
mod ring;
mod slow_start;
