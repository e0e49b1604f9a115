//! What operators call at a balancer, as bytes: [`parse_request`] reads a request from the front of a buffer,
//! [`response`] and [`error_response`] write answers, and [`MetricsPage`] writes metrics in Prometheus' text format.
//!
//! It is pure: it opens nothing, waits for nothing, counts nothing.

mod metrics_page;
mod request;

pub use metrics_page::{MetricKind, MetricsPage, Sample};
pub use request::{
    error_response, parse_request, response, AdminRequest, AdminRequestError, MAX_BODY_BYTES,
    MAX_REQUEST_BYTES,
};
