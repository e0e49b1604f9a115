//! The figures that operators fetch, counted where peers see them.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use basaltwood::types::{PoolSize, RequestClassId};
use basaltwood_admin::MetricsPage;
use basaltwood_regions::{RegionCounts, Regions};

/// How an op ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    Ok,
    Shed,
    Error,
}

pub struct Metrics {
    classes: Vec<String>,
    /// By category, in the order of `RequestOutcome`.
    ended: RefCell<Vec<[u64; 3]>>,
    attempts: Cell<u64>,
    active_requests: Cell<u64>,
    /// Cache hosts listed, and those of them that are avoided.
    pool: Cell<PoolSize>,
    /// None where there are no regions.
    regions: RefCell<Option<RegionMetrics>>,
}

/// How many hosts of the list lie where, each region's name with whether it is the ring, the map's version.
struct RegionMetrics {
    counts: RegionCounts,
    names: Vec<(String, bool)>,
    /// The map's, as eight digits.
    version: String,
}

/// An op that was taken and has not ended for its client. Dropped without an outcome it was abandoned, and counts as
/// none: every way out of an op passes here once.
pub struct ActiveRequest(Rc<Metrics>, RequestClassId);

impl ActiveRequest {
    pub fn finish(self, outcome: RequestOutcome) {
        if let Some(ended) = self.0.ended.borrow_mut().get_mut(usize::from(self.1 .0)) {
            ended[outcome as usize] += 1;
        }
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.active_requests.set(self.0.active_requests.get() - 1);
    }
}

impl Metrics {
    /// Each category stands at 0 from the start.
    pub fn new(classes: Vec<String>) -> Rc<Metrics> {
        let ended = RefCell::new(vec![[0; 3]; classes.len()]);
        let (attempts, active_requests, pool) = (Cell::default(), Cell::default(), Cell::default());
        Rc::new(Metrics { classes, ended, attempts, active_requests, pool, regions: RefCell::default() })
    }

    pub fn request_started(self: &Rc<Metrics>, class: RequestClassId) -> ActiveRequest {
        self.active_requests.set(self.active_requests.get() + 1);
        ActiveRequest(self.clone(), class)
    }

    /// A push was written whole, to a cache host or the origin.
    pub fn attempt_sent(&self) {
        self.attempts.set(self.attempts.get() + 1);
    }

    pub fn set_pool_size(&self, pool: PoolSize) {
        self.pool.set(pool);
    }

    pub fn set_regions<T: Clone>(&self, regions: &Regions<T>) {
        let ring = |name: &String| (name.clone(), name == regions.ring());
        let names = regions.map().names().iter().map(ring).collect();
        let version = format!("{:08x}", regions.map().version());
        self.regions.replace(Some(RegionMetrics { counts: regions.counts(), names, version }));
    }

    /// There are hosts to route by.
    pub fn has_hosts(&self) -> bool {
        self.pool.get().listed > 0
    }

    /// The page of figures, from counts that stand ready.
    pub fn render(&self) -> MetricsPage {
        let mut page = MetricsPage::default();
        let ended = self.ended.borrow();
        for (name, help, which) in [
            ("edge_proxy_ok", "Ops whose value was written to the client.", RequestOutcome::Ok),
            ("edge_proxy_shed", "Ops refused: trying again is harmless.", RequestOutcome::Shed),
            ("edge_proxy_errors", "Ops that failed.", RequestOutcome::Error),
        ] {
            let by_kind = self.classes.iter().zip(ended.iter());
            let samples = by_kind.map(|(kind, ended)| (Some(("kind", kind.as_str())), ended[which as usize]));
            page.add(name, "counter", help, samples);
        }
        let PoolSize { listed, ejected } = self.pool.get();
        for (name, kind, help, number) in [
            (
                "edge_proxy_tries",
                "counter",
                "Pushes written whole, to cache hosts and the origin.",
                self.attempts.get(),
            ),
            ("edge_proxy_active", "gauge", "Ops taken and not ended.", self.active_requests.get()),
            ("edge_proxy_pool_size", "gauge", "Cache hosts in the list.", listed as u64),
            ("edge_proxy_pool_ejected", "gauge", "Listed cache hosts that are avoided now.", ejected as u64),
        ] {
            page.add(name, kind, help, [(None, number)]);
        }
        if let Some(RegionMetrics { counts, names, version }) = &*self.regions.borrow() {
            let help = "1 for the version of the map: the CRC-32 of all that it says but for the own region.";
            let sample = (Some(("version", version.as_str())), 1);
            page.add("edge_proxy_regions_map", "gauge", help, [sample]);
            let rings = names.iter().map(|(name, ring)| (Some(("region", name.as_str())), u64::from(*ring)));
            let help = "1 for the region whose hosts are this balancer's ring.";
            page.add("edge_proxy_regions_ring", "gauge", help, rings);
            for (name, help, number) in [
                ("edge_proxy_regions_hosts_ring", "Listed cache hosts of the ring's region.", counts.in_ring),
                (
                    "edge_proxy_regions_hosts_outside",
                    "Listed cache hosts of no use here.",
                    counts.outside_ring,
                ),
                ("edge_proxy_regions_hosts_unnamed", "Of those, in no region's zone.", counts.unmapped_hosts),
                ("edge_proxy_regions_zones_unnamed", "Zones seen in no region.", counts.unmapped_zones),
            ] {
                page.add(name, "gauge", help, [(None, number as u64)]);
            }
        }
        page
    }
}
