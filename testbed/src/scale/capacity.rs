//! Checks whether this machine has the processes, descriptors and memory that an experiment needs,
//! before anything starts.

use super::error::CapacityError;
use super::experiment::{Conditions, ScaleExperiment};
use super::system::MachineLimits;

/// The most processes of a run: simulated balancers, fleets, discovery, a real balancer.
const MAX_PROCESSES: usize = 40;
/// Base memory of a process, in kB. Like the next three, rounded up, so that an experiment is
/// refused before it starts rather than running out of memory.
const PROCESS_KB: f64 = 12_000.0;
/// Memory of a simulated balancer without hosts and connections, in kB.
const BALANCER_KB: f64 = 200.0;
/// Memory of a simulated balancer for each host that it knows, in kB.
const KNOWN_HOST_KB: f64 = 6.0;
/// Memory of each end of a connection, in kB.
const CONNECTION_KB: f64 = 8.0;
/// Descriptors of a process in addition to its connections.
const OTHER_DESCRIPTORS: usize = 64;
/// Bounds the connections of one fleet process, as a multiple of an even share.
const FLEET_SKEW: f64 = 1.25;
/// The fraction of the machine's memory that a run may take.
const MAX_MEMORY_FRACTION: f64 = 0.5;

impl ScaleExperiment {
    /// Checks that this machine has the resources for every point.
    ///
    /// # Errors
    /// The first resource that is too scarce, and what to change, in one line.
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

/// The resources that one point of an experiment needs.
struct Demand {
    /// The axis and its value, for error messages.
    point: String,
    simulated_processes: usize,
    fleet_processes: usize,
    conditions: Conditions,
}

/// The descriptors that one process needs.
struct DescriptorDemand {
    process: &'static str,
    needed: usize,
    /// What to change in the experiment if more are needed than allowed.
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
            process: "a process of simulated balancers",
            needed: balancers * (self.conditions.max_connections + discovery) + OTHER_DESCRIPTORS,
            remedy: "raise processes.hollow (or lower processes.each), lower held.sockets",
        }
    }

    fn fleet_descriptors(&self) -> DescriptorDemand {
        let listeners = self.hosts().div_ceil(self.fleet_processes);
        let connections = self.connections() as f64 / self.fleet_processes as f64 * FLEET_SKEW;
        DescriptorDemand {
            process: "a process of the fleet",
            needed: listeners + connections as usize + OTHER_DESCRIPTORS,
            remedy: "raise processes.fleet, lower held.sockets",
        }
    }

    fn discovery_descriptors(&self) -> DescriptorDemand {
        DescriptorDemand {
            process: "discovery",
            needed: self.balancers() + OTHER_DESCRIPTORS,
            remedy: "lower the number of balancers",
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
        if needed_kb <= machine.memory_kb * MAX_MEMORY_FRACTION {
            return Ok(());
        }
        Err(CapacityError::Memory {
            point: self.point.clone(),
            needed_mb: needed_kb / 1e3,
            machine_mb: machine.memory_kb / 1e3,
        })
    }
}
