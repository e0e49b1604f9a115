//! All simulated balancers of a process, and the commands to them.

use std::rc::Rc;

use tokio::sync::watch::Sender;
use tokio::task::spawn_local;

use super::balancer::SimulatedBalancer;
use super::clock::ProcessClock;
use super::counters::Counters;
use super::load::LoadGenerator;
use crate::scale::error::RoleError;
use crate::scale::protocol::{SimulatedReady, SimulatedSnapshot, SimulatedSpec, WorkerCommand};
use crate::scale::role::{to_reply, Reply, Role};
use crate::scale::system::resident_kb;
use crate::thread_stats::thread_cpu_seconds;

/// All simulated balancers of a process.
pub struct SimulatedBalancers {
    balancers: Rc<Vec<Rc<SimulatedBalancer>>>,
    counters: Rc<Counters>,
    /// The resident memory before the balancers were created, in kB.
    initial_resident_kb: u64,
    /// Whether requests are generated.
    generating: Sender<bool>,
}

impl SimulatedBalancers {
    /// Starts the balancers, without load.
    ///
    /// # Errors
    /// The settings or the initial list are invalid.
    pub fn start(spec: SimulatedSpec) -> Result<Rc<SimulatedBalancers>, RoleError> {
        let clock = Rc::new(ProcessClock::start());
        let counters = Rc::<Counters>::default();
        let initial_resident_kb = resident_kb();
        let numbers = spec.first_balancer..spec.first_balancer + spec.balancers;
        let balancers = numbers
            .map(|number| SimulatedBalancer::start(&spec, number, &clock, &counters))
            .collect::<Result<Vec<_>, _>>()?;
        let balancers = Rc::new(balancers);
        let generating = Sender::new(false);
        let load = LoadGenerator { spec, clock, counters: counters.clone(), balancers: balancers.clone() };
        spawn_local(load.run(generating.subscribe()));
        Ok(Rc::new(SimulatedBalancers { balancers, counters, initial_resident_kb, generating }))
    }

    fn open_connections(&self) -> u64 {
        self.balancers.iter().map(|balancer| balancer.pools.borrow().open_connections() as u64).sum()
    }
}

impl Role for SimulatedBalancers {
    fn ready(&self) -> Reply {
        to_reply(&SimulatedReady { balancers: self.balancers.len() as u32 })
    }

    fn handle(&self, command: WorkerCommand) -> Reply {
        match command {
            WorkerCommand::Start => drop(self.generating.send_replace(true)),
            WorkerCommand::Stop => drop(self.generating.send_replace(false)),
            // Only hosts and discovery have this fault.
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
