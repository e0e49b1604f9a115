//! The script of a soak: which troubles occur and when, drawn from a seed. Does no I/O.

use std::fmt::{self, Write as _};
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use super::trouble::{AffectedHosts, ProcessTrouble, Trouble, WorldFault, TROUBLES};
use crate::experiment::{Experiment, ExperimentError};

/// Share of the run before the first trouble may begin.
const QUIET_SHARE: f64 = 0.15;
/// Share of the run within which troubles begin, after the quiet share.
const START_SHARE: f64 = 0.2;
/// Share of the run for which a trouble lasts.
const DURATION_SHARE: std::ops::Range<f64> = 0.2..0.5;
/// Requests per second at each balancer.
const RATE_PER_BALANCER: f64 = 25.0;

/// The options of a soak.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// Seed of all random draws.
    pub seed: u64,
    /// Length of the load, in seconds.
    pub seconds: f64,
    /// Number of balancer processes.
    pub balancers: usize,
    /// Number of cache hosts at the start.
    pub hosts: usize,
    /// Troubles to use; if empty, they are drawn.
    pub only: Vec<Trouble>,
}

/// A trouble and its period.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScriptedTrouble {
    /// The trouble.
    pub trouble: Trouble,
    /// Its start, in seconds of the run.
    pub from_s: f64,
    /// Its end, in seconds of the run.
    pub to_s: f64,
}

impl Serialize for ScriptedTrouble {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl fmt::Display for ScriptedTrouble {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {:.1}-{:.1} s", self.trouble, self.from_s, self.to_s)
    }
}

/// A script: overlapping troubles, and the options of the fleet that they affect.
#[derive(Clone, Debug)]
pub struct Script {
    /// The options that it was drawn from.
    pub options: SoakOptions,
    /// The troubles.
    pub troubles: Vec<ScriptedTrouble>,
}

impl Script {
    /// Draws two or three troubles, or takes those of `options.only`, with times that overlap.
    pub fn draw(options: SoakOptions) -> Script {
        let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
        let drawn: Vec<Trouble> = if options.only.is_empty() {
            let count = rng.random_range(2..=3);
            TROUBLES.choose_multiple(&mut rng, count).copied().collect()
        } else {
            options.only.clone()
        };
        let troubles = drawn.into_iter().map(|trouble| {
            let from = QUIET_SHARE + rng.random::<f64>() * START_SHARE;
            let duration = rng.random_range(DURATION_SHARE);
            let from_s = from * options.seconds;
            ScriptedTrouble { trouble, from_s, to_s: from_s + duration * options.seconds }
        });
        let troubles = troubles.collect();
        Script { options, troubles }
    }

    /// The script without the trouble at index `nth`.
    pub fn without(&self, nth: usize) -> Script {
        let mut shorter = self.clone();
        shorter.troubles.remove(nth);
        shorter
    }

    /// The names of its troubles, joined by `+` as `--only` takes them.
    pub fn names(&self) -> String {
        let names: Vec<&str> = self.troubles.iter().map(|scripted| scripted.trouble.name()).collect();
        names.join("+")
    }

    /// The troubles that affect balancer processes.
    pub fn process_troubles(&self) -> Vec<(ProcessTrouble, ScriptedTrouble)> {
        let process = |scripted: &ScriptedTrouble| match scripted.trouble {
            Trouble::Process(_, trouble) => Some((trouble, *scripted)),
            Trouble::World(..) => None,
        };
        self.troubles.iter().filter_map(process).collect()
    }

    /// The experiment that sets up the script's world, load and world faults.
    ///
    /// # Errors
    /// If the options are not valid, such as more balancers than descriptors allow.
    pub fn experiment(&self) -> Result<Experiment, ExperimentError> {
        let SoakOptions { seed, seconds, balancers, hosts, .. } = self.options;
        let rate = RATE_PER_BALANCER * balancers as f64;
        let mut text = format!(
            "name = \"soak\"\nabout = \"{}\"\nseconds = {seconds:.1}\nseeds = [{seed}]\nbalancers = {balancers}\n{CLASSES}\n\
             [fleet]\nhosts = {hosts}\n{FLEET}\n\
             [load]\nrate = {rate:.1}\nconnections = 8\npipeline = 4\nclose = 0.02\nvalue_bytes = 600\nlate_ms = 50\n\
             notice_s = 0.5\nretry = {{ kind = \"back-off\", times = 2, pause_ms = 40 }}\n\
             give_up = {{ part = 0.05, after_ms = 60 }}\n",
            self.names()
        );
        for scripted in &self.troubles {
            let Trouble::World(_, fault) = scripted.trouble else { continue };
            self.write_fault(&mut text, scripted, fault);
        }
        Experiment::parse(&text)
    }
}

impl Script {
    fn write_fault(&self, text: &mut String, scripted: &ScriptedTrouble, fault: WorldFault) {
        let kind = serde_json::to_string(&fault.kind).unwrap_or_default();
        let to_s = fault.pulse.map_or(scripted.to_s, |pulse| scripted.from_s + pulse.on_s);
        let _ = writeln!(
            text,
            "[[faults]]\nkind = {kind}\nfrom_s = {:.2}\nto_s = {to_s:.2}\npart = {:.2}\nfactor = {:.1}",
            scripted.from_s, fault.part, fault.factor
        );
        if let Some(pulse) = fault.pulse {
            let _ = writeln!(text, "every_s = {:.2}", pulse.every_s);
        }
        let hosts = self.options.hosts;
        let _ = match fault.hosts {
            AffectedHosts::None => Ok(()),
            AffectedHosts::Twelfths(count) => {
                writeln!(text, "hosts = {}", (count * hosts / TWELFTHS_PER_FLEET).max(1))
            }
            AffectedHosts::OneZone => {
                writeln!(text, "hosts = {:?}", (0..hosts).step_by(ZONES).collect::<Vec<_>>())
            }
            AffectedHosts::AllForOneBalancer => writeln!(text, "hosts = \"all\"\nbalancer = 0"),
        };
    }
}

/// Troubles give their number of hosts in twelfths of the fleet.
const TWELFTHS_PER_FLEET: usize = 12;
/// Number of zones in [`FLEET`].
const ZONES: usize = 3;
/// The longest deadline of the classes in every script.
pub const LONGEST_DEADLINE: Duration = Duration::from_millis(1_500);

/// Request classes of every retry safety; deduplication windows are shorter than the deadlines.
const CLASSES: &str = r#"
[[categories]]
name = "read"
share = 6
target_ms = 300
ttl_ms = 900
late_benefit = 0.3
benefit = 2
repeats = "redeliverable"

[[categories]]
name = "put"
share = 1
write = true
target_ms = 500
ttl_ms = 1500
late_benefit = 0.5
benefit = 8
repeats = "deduplicated"
window_ms = 700

[[categories]]
name = "zoned"
share = 1
target_ms = 500
ttl_ms = 1500
late_benefit = 0.5
benefit = 6
repeats = "deduplicated"
group = "zone"
window_ms = 900

[[categories]]
name = "once"
share = 2
target_ms = 500
ttl_ms = 1500
late_benefit = 0.5
benefit = 8
repeats = "at-most-once"
"#;

/// The rest of the experiment's `[fleet]` section after its `hosts`, and the origin and discovery.
const FLEET: &str = r#"
zones = 3
connect_timeout_ms = 1400
filled = 0.9
connections = 2000
service = { kind = "log-normal", mean_ms = 5, sigma = 0.5 }

[origin]
cores = 32
service = { kind = "log-normal", mean_ms = 15, sigma = 0.4 }

[discovery]
grace_ms = 300
"#;
