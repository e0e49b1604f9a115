//! The codec of a balancer's admin interface: [`parse_request`] reads a request from the front of a
//! buffer, [`response`] and [`error_response`] encode responses, and [`MetricsPage`] writes metrics
//! in the Prometheus text format.
//!
//! This crate does no I/O and keeps no counters.

mod metrics_page;
mod request;

pub use metrics_page::{MetricKind, MetricsPage, Sample};
pub use request::{
    error_response, parse_request, response, AdminRequest, AdminRequestError, MAX_BODY_BYTES,
    MAX_REQUEST_BYTES,
};
