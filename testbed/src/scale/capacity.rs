//! Whether this machine can carry an experiment, judged before anything starts.

use super::error::CapacityError;
use super::experiment::{Conditions, ScaleExperiment};
use super::system::MachineLimits;

/// Processes of a run at most: simulated balancers, fleets, discovery, a real balancer.
const MAX_PROCESSES: usize = 40;
/// What a process takes by itself, in kB. This and the next three were measured once and rounded
/// up, so that a refusal comes before anything starts.
const PROCESS_KB: f64 = 12_000.0;
/// What a simulated balancer takes for itself, in kB.
const BALANCER_KB: f64 = 200.0;
/// What it takes for each host that it knows, in kB.
const KNOWN_HOST_KB: f64 = 6.0;
/// What each end of a connection takes, in kB.
const CONNECTION_KB: f64 = 8.0;
/// Descriptors of a process beside its connections.
const OTHER_DESCRIPTORS: usize = 64;
/// How much more than its even share of the connections one process of a fleet may get.
const FLEET_SKEW: f64 = 1.25;
/// The part of the machine's memory that a run may take.
const MAX_MEMORY_PART: f64 = 0.5;

impl ScaleExperiment {
    /// Whether this machine can carry every point.
    ///
    /// # Errors
    /// The first want, in one line with the way out.
    pub fn fits(&self, machine: MachineLimits) -> Result<(), CapacityError> {
        for &point in &self.points {
            let conditions = self.conditions_at(point);
            let demand = Demand {
                point: format!("{} = {point}", self.axis.name()),
                simulated_processes: self.simulated_processes(&conditions) as usize,
                fleet_processes: self.processes.fleet as usize,
                conditions,
            };
            demand.check_processes()?;
            demand.check_descriptors(machine)?;
            demand.check_memory(machine)?;
        }
        Ok(())
    }
}

/// What one point of an experiment takes.
struct Demand {
    /// The axis and its value.
    point: String,
    simulated_processes: usize,
    fleet_processes: usize,
    conditions: Conditions,
}

/// The descriptors that one process takes.
struct DescriptorDemand {
    process: &'static str,
    needed: usize,
    /// What to change in the experiment where that is too many.
    remedy: &'static str,
}

impl Demand {
    fn processes(&self) -> usize {
        let discovery = 1;
        let real = usize::from(self.conditions.has_real_balancer());
        self.simulated_processes + self.fleet_processes + discovery + real
    }

    fn balancers(&self) -> usize {
        self.conditions.balancers as usize
    }

    fn hosts(&self) -> usize {
        self.conditions.hosts as usize
    }

    /// Connections of all balancers to hosts.
    fn connections(&self) -> usize {
        let real = if self.conditions.has_real_balancer() { self.conditions.real_descriptors } else { 0 };
        self.balancers() * self.conditions.max_connections + real
    }

    fn check_processes(&self) -> Result<(), CapacityError> {
        let processes = self.processes();
        if processes <= MAX_PROCESSES {
            return Ok(());
        }
        Err(CapacityError::Processes { point: self.point.clone(), processes, max: MAX_PROCESSES })
    }

    fn check_descriptors(&self, machine: MachineLimits) -> Result<(), CapacityError> {
        let Some(allowed) = machine.descriptors else { return Ok(()) };
        let demands = [self.simulated_descriptors(), self.fleet_descriptors(), self.discovery_descriptors()];
        for DescriptorDemand { process, needed, remedy } in demands {
            if needed > allowed {
                let point = self.point.clone();
                return Err(CapacityError::Descriptors { point, process, needed, allowed, remedy });
            }
        }
        Ok(())
    }

    fn simulated_descriptors(&self) -> DescriptorDemand {
        let balancers = self.balancers().div_ceil(self.simulated_processes);
        let discovery = 1;
        DescriptorDemand {
            process: "a hollow process",
            needed: balancers * (self.conditions.max_connections + discovery) + OTHER_DESCRIPTORS,
            remedy: "more processes.hollow (or fewer processes.each), fewer held.sockets",
        }
    }

    fn fleet_descriptors(&self) -> DescriptorDemand {
        let listeners = self.hosts().div_ceil(self.fleet_processes);
        let connections = self.connections() as f64 / self.fleet_processes as f64 * FLEET_SKEW;
        DescriptorDemand {
            process: "a process of the fleet",
            needed: listeners + connections as usize + OTHER_DESCRIPTORS,
            remedy: "more processes.fleet, fewer held.sockets",
        }
    }

    fn discovery_descriptors(&self) -> DescriptorDemand {
        DescriptorDemand {
            process: "discovery",
            needed: self.balancers() + OTHER_DESCRIPTORS,
            remedy: "fewer balancers",
        }
    }

    fn memory_kb(&self) -> f64 {
        let balancer = BALANCER_KB + self.hosts() as f64 * KNOWN_HOST_KB;
        let connection_ends = 2.0 * self.connections() as f64;
        self.processes() as f64 * PROCESS_KB
            + self.balancers() as f64 * balancer
            + connection_ends * CONNECTION_KB
    }

    fn check_memory(&self, machine: MachineLimits) -> Result<(), CapacityError> {
        let needed_kb = self.memory_kb();
        if needed_kb <= machine.memory_kb * MAX_MEMORY_PART {
            return Ok(());
        }
        Err(CapacityError::Memory {
            point: self.point.clone(),
            needed_mb: needed_kb / 1e3,
            machine_mb: machine.memory_kb / 1e3,
        })
    }
}
