//! Checks of an experiment before anything starts.

use super::{Category, Experiment, Fault, FaultKind, HostSelection, InvalidExperiment, RetrySafety};

/// Allowance for descriptors that are neither listeners nor connections: logs, timers, pipes.
const OTHER_DESCRIPTORS: usize = 64;

/// Faults that can be limited to one balancer.
const FAULTS_OF_ONE_BALANCER: [FaultKind; 13] = [
    FaultKind::Silent,
    FaultKind::Stale,
    FaultKind::StaleReset,
    FaultKind::Reset,
    FaultKind::Refuse,
    FaultKind::Lost,
    FaultKind::Busy,
    FaultKind::Error,
    FaultKind::Spoil,
    FaultKind::BalancerKill,
    FaultKind::DiscoveryDown,
    FaultKind::DiscoveryStale,
    FaultKind::DiscoveryWrong,
];

/// The soft limit on this process's open descriptors, if the system reports one.
pub fn allowed_descriptors() -> Option<usize> {
    let limits = std::fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let soft = limits.lines().find_map(|line| line.strip_prefix("Max open files"));
    soft.and_then(|line| line.split_whitespace().next()?.parse::<usize>().ok())
}

fn check_range(field: &str, value: f64, min: f64, max: f64) -> Result<(), InvalidExperiment> {
    if (min..=max).contains(&value) {
        Ok(())
    } else {
        Err(InvalidExperiment::OutOfRange { field: field.to_owned(), value, min, max })
    }
}

impl Experiment {
    /// Checks that the experiment is consistent and fits this machine's limits.
    ///
    /// # Errors
    /// Returns the first problem; its message says what to change.
    pub fn check(&self) -> Result<(), InvalidExperiment> {
        self.check_ranges()?;
        if self.seeds.is_empty() {
            return Err(InvalidExperiment::NoSeeds);
        }
        self.check_categories()?;
        self.check_flood()?;
        for (nth, fault) in self.faults.iter().enumerate() {
            self.check_fault(&format!("fault {} ({:?})", nth + 1, fault.kind), fault)?;
        }
        self.check_descriptors()
    }

    fn check_ranges(&self) -> Result<(), InvalidExperiment> {
        check_range("seconds", self.seconds, 0.5, 3_600.0)?;
        check_range("balancers", self.balancers as f64, 1.0, 64.0)?;
        check_range("fleet.hosts", self.fleet.hosts as f64, 1.0, 4_000.0)?;
        check_range("fleet.zones", self.fleet.zones as f64, 1.0, 256.0)?;
        check_range("fleet.cores", self.fleet.cores as f64, 1.0, 1_024.0)?;
        check_range("fleet.speed", self.fleet.speed, 0.001, 1_000.0)?;
        check_range("fleet.filled", self.fleet.filled, 0.0, 1.0)?;
        check_range("fleet.store", self.fleet.store as f64, 1.0, 1e7)?;
        check_range("origin.cores", self.origin.cores as f64, 1.0, 1_024.0)?;
        check_range("cold.from", self.slow_start.from, 0.001, 1.0)?;
        self.check_load_ranges()
    }

    fn check_load_ranges(&self) -> Result<(), InvalidExperiment> {
        let load = &self.load;
        check_range("load.rate", load.rate, 0.1, 200_000.0)?;
        check_range("load.rate times seconds", load.rate * self.seconds, 1.0, 2e7)?;
        check_range("load.keys", load.keys as f64, 1.0, 1e7)?;
        check_range("load.zipf", load.zipf, 0.0, 5.0)?;
        check_range("load.value_bytes", load.value_bytes as f64, 48.0, 65_536.0)?;
        check_range("load.pipeline", load.pipeline as f64, 1.0, 1_024.0)?;
        check_range("load.late_ms", load.late_ms, 0.1, 1_000.0)?;
        check_range("load.connections", load.connections as f64, 1.0, 100_000.0)?;
        check_range("load.speed", load.speed, 0.01, 1_000.0)
    }

    fn check_categories(&self) -> Result<(), InvalidExperiment> {
        if self.categories.is_empty() {
            return Err(InvalidExperiment::NoCategories);
        }
        for (nth, category) in self.categories.iter().enumerate() {
            let name = &category.name;
            if self.categories[..nth].iter().any(|other| other.name == *name) {
                return Err(InvalidExperiment::DuplicateCategory { name: name.clone() });
            }
            category.check()?;
        }
        Ok(())
    }

    fn check_flood(&self) -> Result<(), InvalidExperiment> {
        let Some(flood) = &self.load.flood else { return Ok(()) };
        if self.customers.iter().any(|customer| customer.name == flood.customer) {
            Ok(())
        } else {
            Err(InvalidExperiment::NoSuchTenant { name: flood.customer.clone() })
        }
    }

    fn check_fault(&self, name: &str, fault: &Fault) -> Result<(), InvalidExperiment> {
        check_range(&format!("{name}: from_s"), fault.from_s, 0.0, self.seconds)?;
        if let Some(to) = fault.to_s {
            check_range(&format!("{name}: to_s"), to, fault.from_s, self.seconds)?;
        }
        check_range(&format!("{name}: part"), fault.part, 0.0, 1.0)?;
        check_range(&format!("{name}: factor"), fault.factor, 0.01, 10_000.0)?;
        if fault.overlaps_itself() {
            return Err(InvalidExperiment::FaultOverlapsItself { fault: name.to_owned() });
        }
        self.check_fault_balancer(name, fault)?;
        self.check_fault_hosts(name, fault)
    }

    fn check_fault_balancer(&self, name: &str, fault: &Fault) -> Result<(), InvalidExperiment> {
        let fault_name = || name.to_owned();
        let Some(balancer) = fault.balancer else { return Ok(()) };
        if balancer >= self.balancers {
            let last = self.balancers - 1;
            return Err(InvalidExperiment::NoSuchBalancer { fault: fault_name(), last });
        }
        if !FAULTS_OF_ONE_BALANCER.contains(&fault.kind) {
            return Err(InvalidExperiment::SameForEveryBalancer { fault: fault_name() });
        }
        Ok(())
    }

    fn check_fault_hosts(&self, name: &str, fault: &Fault) -> Result<(), InvalidExperiment> {
        let hosts = self.fleet.hosts;
        match &fault.hosts {
            HostSelection::These(named) if named.iter().any(|&host| host >= hosts) => {
                Err(InvalidExperiment::NoSuchHost { fault: name.to_owned(), last: hosts - 1 })
            }
            HostSelection::Count(count) if fault.kind != FaultKind::Grow && *count > hosts => {
                Err(InvalidExperiment::TooFewHosts { fault: name.to_owned(), hosts })
            }
            _ => Ok(()),
        }
    }

    /// Checks that this process can hold all descriptors: listeners, clients' connections and the
    /// hosts' end of attempts' connections.
    fn check_descriptors(&self) -> Result<(), InvalidExperiment> {
        let added: usize = self.faults.iter().map(Fault::hosts_added).sum();
        let origin = 1;
        let hosts = self.fleet.hosts + added + origin;
        // A balancer uses at most half of its descriptors for clients; all the others may be
        // connections to hosts.
        let per_balancer = hosts + 1 + self.load.connections + self.limits.sockets;
        let needed = self.balancers * per_balancer + OTHER_DESCRIPTORS;
        match allowed_descriptors() {
            Some(allowed) if needed > allowed => {
                Err(InvalidExperiment::TooFewDescriptors { needed, allowed })
            }
            _ => Ok(()),
        }
    }
}

impl Category {
    fn check(&self) -> Result<(), InvalidExperiment> {
        let name = &self.name;
        check_range(&format!("category {name}: share"), self.share, 0.0, 1e6)?;
        check_range(&format!("category {name}: ttl_ms"), self.ttl_ms, 1.0, 600_000.0)?;
        check_range(&format!("category {name}: target_ms"), self.target_ms, 1.0, self.ttl_ms)?;
        if self.retry_safety == RetrySafety::Deduplicated && self.window_ms <= 0.0 {
            return Err(InvalidExperiment::NoDeduplicationWindow { name: name.clone() });
        }
        Ok(())
    }
}

impl Fault {
    /// Whether a repeated fault starts again before it has ended. Without `to_s` that is reported
    /// only for a fault that begins at 0.
    fn overlaps_itself(&self) -> bool {
        self.every_s.is_some_and(|every| every <= self.to_s.unwrap_or(every) - self.from_s)
    }

    /// The number of hosts that the fault adds to the fleet.
    fn hosts_added(&self) -> usize {
        match (self.kind, &self.hosts) {
            (FaultKind::Grow, HostSelection::Count(count)) => *count,
            _ => 0,
        }
    }
}
