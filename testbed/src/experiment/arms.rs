//! The arms of an experiment: the programs that it compares.

use std::path::PathBuf;

use serde::Deserialize;

/// One alternative of a comparison: a balancer program or one of the testbed's baselines.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Arm {
    /// The name under which results list it.
    pub name: String,
    /// A balancer that reads PROXY_CONFIG. With neither a program nor a baseline, the balancer in
    /// the testbed's own folder is played.
    pub program: Option<PathBuf>,
    /// A baseline to play instead of a program.
    pub baseline: Option<Baseline>,
    /// A file that maps zones to regions; a relative path starts at the experiment file's folder.
    /// The balancer finds the path in the variable `BASALTWOOD_REGIONS`, which is not set if this
    /// is absent.
    pub regions: Option<PathBuf>,
}

/// A simple router that takes a balancer's place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Baseline {
    /// Routes to a random host.
    Random,
    /// Routes to the host with the fewest attempts in flight.
    LeastInFlight,
    /// Routes to the first host on a hash ring.
    PlainRing,
}

impl Baseline {
    /// All baselines.
    pub const ALL: [Baseline; 3] = [Baseline::Random, Baseline::LeastInFlight, Baseline::PlainRing];

    /// The baseline's name on the command line and in results.
    pub fn name(self) -> &'static str {
        match self {
            Baseline::Random => "random",
            Baseline::LeastInFlight => "least-in-flight",
            Baseline::PlainRing => "plain-ring",
        }
    }
}
