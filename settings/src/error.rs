//! Why settings, or a name, can't be used.

/// Settings that can't be used. The message names the field or the category.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// `categories` is empty.
    #[error("no categories")]
    NoCategories,
    /// A field of `objectiveMix` is not in the range 0 to 1.
    #[error("objectiveMix.{field} is no part from 0 to 1")]
    InvalidObjectivePart {
        /// The field's name in the settings.
        field: &'static str,
    },
    /// A price in `costs` is negative or absurd.
    #[error("costs.{name} is {price:?}: a price is 0 or more, leave it out for none")]
    InvalidPrice {
        /// What the price is for.
        name: String,
        /// The price as it is given.
        price: f64,
    },
    /// `report.source` is none of the known ones.
    #[error("report.source is {source_name}: say inline, on_probe or off")]
    UnknownReportSource {
        /// The source as it is given.
        source_name: String,
    },
    /// A span of time is negative, not a number, or longer than months.
    #[error("{what}: {ms:?} ms is no span of time")]
    InvalidSpan {
        /// The field, or the category that has the span.
        what: String,
        /// The span as it is given, in milliseconds.
        ms: f64,
    },
    /// A category whose requests hosts deduplicate does not say for how long.
    #[error("category {category}: no window for repeats")]
    NoDeduplicationWindow {
        /// The category's name.
        category: String,
    },
    /// A category's `semantics` is none of the known ones.
    #[error("category {category}: unknown kind {kind}")]
    UnknownSemantics {
        /// The category's name.
        category: String,
        /// The semantics as they are given.
        kind: String,
    },
}

/// A name that has no id at this balancer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unknown {kind} {name}")]
pub struct UnknownName {
    /// What was looked up: a category, a customer, a host.
    pub kind: &'static str,
    /// The name that was not found.
    pub name: String,
}
