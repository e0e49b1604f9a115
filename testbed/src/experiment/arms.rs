//! The arms of an experiment: the programs that it compares.

use std::path::PathBuf;

use serde::Deserialize;

/// What is played: a program, or one of the testbed's baselines.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Arm {
    /// The name under which results list it.
    pub name: String,
    /// A balancer that reads PROXY_CONFIG; the one beside the testbed where neither is given.
    pub program: Option<PathBuf>,
    /// A baseline instead.
    pub baseline: Option<Baseline>,
    /// An operators' file with a map of zones to regions, beside the experiment's; the balancer
    /// finds its path in the variable `BASALTWOOD_REGIONS`. Absent, the variable is not set.
    pub regions: Option<PathBuf>,
}

/// A simple router in a balancer's place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Baseline {
    /// A host at random.
    Random,
    /// The host with the fewest attempts in flight.
    LeastInFlight,
    /// The first host of a hash ring.
    PlainRing,
}

impl Baseline {
    /// All of them.
    pub const ALL: [Baseline; 3] = [Baseline::Random, Baseline::LeastInFlight, Baseline::PlainRing];

    /// Its name on the command line and in results.
    pub fn name(self) -> &'static str {
        match self {
            Baseline::Random => "random",
            Baseline::LeastInFlight => "least-in-flight",
            Baseline::PlainRing => "plain-ring",
        }
    }
}
