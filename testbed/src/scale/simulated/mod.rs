//! Simulated balancers: the real router, connection pools, watch schedule and settings, and real
//! connections to discovery and hosts, but no clients: requests are drawn inside (`load`).
//!
//! Each has its own seed and number; all of a process share its thread. The files are cut as those
//! of the balancer: `watch` for discovery, `request` for a request, `checkout` and `exchange`
//! for an attempt.

mod balancer;
mod checkout;
mod clock;
mod connection;
mod counters;
mod endpoints;
mod exchange;
mod load;
mod request;
mod watch;

use std::rc::Rc;

use tokio::sync::watch::Sender;
use tokio::task::spawn_local;

use self::balancer::SimulatedBalancer;
use self::clock::ProcessClock;
use self::counters::Counters;
use super::error::RoleError;
use super::protocol::{SimulatedReady, SimulatedSnapshot, SimulatedSpec, WorkerCommand};
use super::role::{to_reply, Reply, Role};
use super::system::resident_kb;
use crate::thread_stats::thread_cpu_seconds;

/// All simulated balancers of a process.
pub struct SimulatedBalancers {
    spec: SimulatedSpec,
    clock: Rc<ProcessClock>,
    counters: Rc<Counters>,
    balancers: Vec<Rc<SimulatedBalancer>>,
    /// The resident memory before there were balancers.
    initial_resident_kb: u64,
    /// Whether requests are drawn.
    generating: Sender<bool>,
}

impl SimulatedBalancers {
    /// Starts the balancers, without load.
    ///
    /// # Errors
    /// The settings or the initial list make no sense.
    pub fn start(spec: SimulatedSpec) -> Result<Rc<SimulatedBalancers>, RoleError> {
        let clock = Rc::new(ProcessClock::start());
        let counters = Rc::<Counters>::default();
        let initial_resident_kb = resident_kb();
        let numbers = spec.first_balancer..spec.first_balancer + spec.balancers;
        let balancers = numbers
            .map(|number| SimulatedBalancer::start(&spec, number, &clock, &counters))
            .collect::<Result<Vec<_>, _>>()?;
        let generating = Sender::new(false);
        let all = SimulatedBalancers { spec, clock, counters, balancers, initial_resident_kb, generating };
        let all = Rc::new(all);
        spawn_local(all.clone().generate_load());
        Ok(all)
    }

    fn open_connections(&self) -> u64 {
        self.balancers.iter().map(|balancer| balancer.pools.borrow().open_connections() as u64).sum()
    }
}

impl Role for SimulatedBalancers {
    fn ready(&self) -> Reply {
        to_reply(&SimulatedReady { balancers: self.spec.balancers })
    }

    fn handle(&self, command: WorkerCommand) -> Reply {
        match command {
            WorkerCommand::Start => drop(self.generating.send_replace(true)),
            WorkerCommand::Stop => drop(self.generating.send_replace(false)),
            // These are for hosts and discovery.
            WorkerCommand::StopResponding | WorkerCommand::ResumeResponding => {}
            WorkerCommand::Snapshot => {}
        }
        to_reply(&SimulatedSnapshot {
            cpu_s: thread_cpu_seconds(),
            resident_kb: resident_kb(),
            initial_resident_kb: self.initial_resident_kb,
            connections_open: self.open_connections(),
            ..self.counters.take_snapshot()
        })
    }
}
