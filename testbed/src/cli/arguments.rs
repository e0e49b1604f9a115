//! The command line: subcommands and options.

use std::net::SocketAddr;
use std::path::PathBuf;

use basaltwood_testbed::experiment::Baseline;
use basaltwood_testbed::router::InjectedFault;
use clap::{Parser, Subcommand};

/// A testbed for balancers: emulated hosts, open-loop load, faults, and an audit of the messages on
/// the sockets.
///
/// Start with `basaltwood-testbed demo`. Exit codes: 0 success, 1 failed, 2 bad input, 3 rules
/// broken, 4 void (the testbed or the machine was too late; the output says which), 130
/// interrupted.
#[derive(Parser)]
#[command(
    version,
    after_help = "Example: basaltwood-testbed run testbed/experiments/hang.toml --arm today --arm random"
)]
pub(crate) struct Arguments {
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Subcommand)]
pub(crate) enum Command {
    /// Plays a small fleet with two balancers; one host hangs halfway. Needs only the built
    /// programs.
    Demo {
        /// The folder for results.
        #[arg(long, default_value = "lab-results")]
        out: PathBuf,
    },
    /// Plays an experiment: every arm with every seed, in turn.
    #[command(after_help = "Example: basaltwood-testbed run testbed/experiments/surge.toml --seeds 1,2,3")]
    Run {
        file: PathBuf,
        /// Plays only these arms of the file; `today` and the baselines `random`, `least-in-flight`
        /// and `plain-ring` are always available.
        #[arg(long)]
        arm: Vec<String>,
        /// Adds an arm with this name and program, such as an older build.
        #[arg(long, value_name = "NAME=PROGRAM")]
        program: Vec<String>,
        /// Overrides the file's seeds.
        #[arg(long, value_delimiter = ',')]
        seeds: Vec<u64>,
        #[arg(long, default_value = "lab-results")]
        out: PathBuf,
        /// Prints one JSON line per run on standard output instead of text.
        #[arg(long)]
        json: bool,
        /// Writes the requests as a trace into the result folder.
        #[arg(long)]
        keep_trace: bool,
    },
    /// Starts a world without load or balancers and writes the PROXY_CONFIG files for balancers.
    #[command(after_help = "Then: PROXY_CONFIG=up/balancer-0.json basaltwood-balancer")]
    Up {
        file: PathBuf,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value = "up")]
        out: PathBuf,
        /// Ends after this number of seconds; without it, at Ctrl-C.
        #[arg(long = "for")]
        seconds: Option<f64>,
    },
    /// Plays an experiment's load against running balancers.
    Load {
        file: PathBuf,
        #[arg(long, required = true, value_name = "ADDRESS")]
        to: Vec<SocketAddr>,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long)]
        json: bool,
    },
    /// Compares two arms and tells for each figure whether the difference is above noise.
    #[command(
        after_help = "Example: basaltwood-testbed compare lab-results/hang:today lab-results/hang:random"
    )]
    Compare {
        /// A result folder, followed by :ARM if it holds several arms.
        a: String,
        b: String,
        #[arg(long)]
        json: bool,
    },
    /// Measures how figures grow with one dimension of the fleet: simulated balancers load the
    /// fleet beside a real one. Writes each point's figures, their slopes with intervals, and a
    /// prediction at the planned size.
    ///
    /// Exit codes as for `run`; also 2, before anything starts, if there are not enough
    /// descriptors, memory (half of the machine's is the most) or processes.
    #[command(after_help = "Example: basaltwood-testbed scale testbed/scale/hosts.toml --quick")]
    Scale {
        file: PathBuf,
        /// Plays a small version that takes under a minute: the file's [quick], or its first two
        /// points, once each.
        #[arg(long)]
        quick: bool,
        #[arg(long, default_value = "lab-results")]
        out: PathBuf,
        /// Prints a JSON line for each point and each fitted line on standard output instead of
        /// text.
        #[arg(long)]
        json: bool,
    },
    /// Serves as a worker process of a scale run.
    #[command(hide = true)]
    ScalePart,
    /// Plays two or three troubles that overlap in time, drawn from a seed, against many balancer
    /// processes: faults of hosts, proxies and discovery, signals, failing system calls and stepped
    /// clocks. The audit and the balancers' own invariants decide; a script that fails is reduced
    /// to the troubles that it needs to fail.
    #[command(after_help = "Example: basaltwood-testbed soak --seed 1 --seeds 20 --seconds 12")]
    Soak {
        /// The first seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// The number of consecutive seeds.
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        /// How long requests arrive, in seconds.
        #[arg(long, default_value_t = 12.0)]
        seconds: f64,
        /// The number of balancer processes.
        #[arg(long, default_value_t = 24)]
        balancers: usize,
        /// The number of cache hosts at the start; each opens a listener for each balancer.
        #[arg(long, default_value_t = 12)]
        hosts: usize,
        /// Plays these troubles instead of drawn ones.
        #[arg(long, value_name = "TROUBLE+TROUBLE")]
        only: Option<String>,
        /// The balancer program; by default the one in this program's folder.
        #[arg(long)]
        program: Option<PathBuf>,
        /// Does not reduce scripts that fail.
        #[arg(long)]
        keep_whole: bool,
        #[arg(long, default_value = "lab-results")]
        out: PathBuf,
    },
    /// Writes the page of a result again.
    Report { folder: PathBuf },
    /// Measures the load generator's highest rate, and a balancer's: the rate it carries on one
    /// core, the latency it adds and its memory.
    Measure {
        /// The balancer program; by default the one in this program's folder.
        #[arg(long)]
        program: Option<PathBuf>,
        #[arg(long)]
        json: bool,
    },
    /// Serves as a host that answers at once, for `measure`.
    #[command(hide = true)]
    StandIn,
    /// Works with traces of recorded requests.
    Trace {
        #[command(subcommand)]
        command: TraceCommand,
    },
    /// Serves as a baseline in a balancer's place, configured by PROXY_CONFIG.
    #[command(hide = true)]
    Router {
        kind: Baseline,
        #[arg(long = "misdeed", value_name = "MISDEED")]
        injected_fault: Option<InjectedFault>,
    },
}

#[derive(Subcommand)]
pub(crate) enum TraceCommand {
    /// Writes an experiment's requests as a trace.
    Export {
        file: PathBuf,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long)]
        out: PathBuf,
    },
    /// Makes a trace from a CSV file with the columns time_s, category, key and optionally customer
    /// and size.
    Import {
        csv: PathBuf,
        #[arg(long)]
        out: PathBuf,
    },
    /// Checks a trace against an experiment, and prints its size or the first invalid line.
    Check {
        trace: PathBuf,
        #[arg(long)]
        experiment: PathBuf,
    },
}
