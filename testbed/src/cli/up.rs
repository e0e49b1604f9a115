//! `up`: starts a world without load or balancers.

use std::path::Path;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use basaltwood_testbed::experiment::Experiment;
use basaltwood_testbed::ledger::Ledger;
use basaltwood_testbed::play::STOP;
use basaltwood_testbed::settings;
use basaltwood_testbed::time::Clock;
use basaltwood_testbed::world::World;

use super::error::{bad_input, failed, CommandError};
use super::output::{create_folder, write};
use super::ExitStatus;

/// The first balancer's port; each further balancer listens on the next one.
const FIRST_PORT: u16 = 6379;
/// How often the command checks whether it is to end.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

pub(super) fn up(
    file: &Path,
    seed: u64,
    out: &Path,
    seconds: Option<f64>,
) -> Result<ExitStatus, CommandError> {
    let experiment = Experiment::read(file).map_err(bad_input)?;
    let ledger = Ledger::new(Clock::start());
    let world = World::start(&experiment, seed, &ledger).map_err(failed)?;
    create_folder(out)?;
    for (nth, bootstrap) in world.bootstraps.iter().enumerate() {
        let listen = ([127, 0, 0, 1], FIRST_PORT + nth as u16).into();
        let config = settings::balancer_config(&experiment, &format!("n{nth}"), listen, bootstrap, seed);
        let path = out.join(format!("balancer-{nth}.json"));
        write(&path, &config.to_string())?;
        let discovery = bootstrap.discovery;
        println!("PROXY_CONFIG={} # listens on {listen}, discovery {discovery}", path.display());
    }
    println!("the world is up; Ctrl-C ends it");
    let started = Instant::now();
    let is_over = || seconds.is_some_and(|limit| started.elapsed().as_secs_f64() >= limit);
    while !STOP.load(Ordering::Relaxed) && !is_over() {
        thread::sleep(POLL_INTERVAL);
        // Nothing audits this world: discard its events, so that they do not fill the memory.
        ledger.take();
    }
    Ok(ExitStatus::Success)
}
