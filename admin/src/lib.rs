//! The admin interface of a balancer as bytes: [`parse_request`] reads a request from the front of
//! a buffer, [`response`] and [`error_response`] encode answers, and [`MetricsPage`] writes metrics
//! in Prometheus' text format.
//!
//! It is pure: it does no I/O, never waits, and counts nothing itself.

mod metrics_page;
mod request;

pub use metrics_page::{MetricKind, MetricsPage, Sample};
pub use request::{
    error_response, parse_request, response, AdminRequest, AdminRequestError, MAX_BODY_BYTES,
    MAX_REQUEST_BYTES,
};
