//! Errors for settings that can't be used and names that are unknown.

/// Settings that can't be used. The message names the field or the category.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// `categories` is empty.
    #[error("categories is empty: define at least one category")]
    NoCategories,
    /// A field of `objectiveMix` is not in the range 0 to 1.
    #[error("objectiveMix.{field} is {value:?}: expected a number from 0 to 1")]
    InvalidObjectiveFraction {
        /// The field's name in the settings.
        field: &'static str,
        /// The value in the settings.
        value: f64,
    },
    /// A price in `costs` is negative, not a number, or 1e10 or more.
    #[error("costs.{name} is {price:?}: expected 0 or more and below 1e10, or leave it out for none")]
    InvalidPrice {
        /// The key of the price in `costs`.
        name: String,
        /// The price in the settings.
        price: f64,
    },
    /// `report.source` is not a known source.
    #[error("report.source is {source_name}: expected inline, on_probe or off")]
    UnknownReportSource {
        /// The source in the settings.
        source_name: String,
    },
    /// A duration is negative, not a number, or 1e10 ms (about four months) or more.
    #[error("{what}: a duration is {ms:?} ms, expected 0 or more and below 1e10")]
    InvalidDuration {
        /// The field, or the category that has the duration.
        what: String,
        /// The duration in the settings, in milliseconds.
        ms: f64,
    },
    /// A category with `dedup` semantics has no positive `windowMs`.
    #[error("category {category}: semantics dedup needs windowMs, the deduplication window, above 0")]
    NoDeduplicationWindow {
        /// The category's name.
        category: String,
    },
    /// A category's `semantics` is not a known value.
    #[error("category {category}: semantics is {semantics}, expected retryable, fragile or dedup")]
    UnknownSemantics {
        /// The category's name.
        category: String,
        /// The value in the settings.
        semantics: String,
    },
}

/// A name that has no id in its table.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unknown {kind} {name}")]
pub struct UnknownName {
    /// What the name stands for: a category, a tenant, a host.
    pub kind: &'static str,
    /// The name that was not found.
    pub name: String,
}
