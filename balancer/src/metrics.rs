//! The metrics that operators fetch. An event is counted when it becomes visible to a client or a
//! host.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use basaltwood::types::{PoolSize, RequestClassId};
use basaltwood_admin::{MetricKind, MetricsPage, Sample};
use basaltwood_regions::{RegionCounts, Regions};
use bytes::Bytes;

use crate::invariants::Invariants;
use crate::upstream::SurplusPlace;

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The answer was written in full.
    Ok,
    /// The request was rejected; a retry by the client is harmless.
    Shed,
    /// The request failed.
    Error,
}

/// The metrics of this process.
pub struct Metrics {
    /// The request classes' names, in the order of their ids.
    class_names: Vec<String>,
    /// Outcomes of requests, by the id of their class.
    outcomes: RefCell<Vec<OutcomeCounts>>,
    attempts_sent: Cell<u64>,
    active_requests: Cell<u64>,
    pool_size: Cell<PoolSize>,
    /// The maximum lag in the last second.
    loop_lag: Cell<Duration>,
    /// How often a host sent more than it was asked for, by where it was found.
    surplus: [Cell<u64>; SurplusPlace::EACH.len()],
    invariants: Rc<Invariants>,
    /// `None` if the operators gave no map of regions.
    regions: RefCell<Option<RegionMetrics>>,
}

/// How often requests of one class ended in each way.
#[derive(Clone, Copy, Default)]
struct OutcomeCounts {
    ok: u64,
    shed: u64,
    error: u64,
}

struct RegionMetrics {
    counts: RegionCounts,
    /// Each region's name, and whether its hosts form this balancer's ring.
    rings: Vec<(String, bool)>,
    /// The version of the map, as eight hexadecimal digits.
    map_version: String,
}

/// An open request, from its arrival until its reply was written. If it is dropped before
/// [`ActiveRequest::finish`], the client abandoned the request, and no outcome is counted.
pub struct ActiveRequest {
    metrics: Rc<Metrics>,
    class: RequestClassId,
    /// The request's id as the client chose it, for the log.
    client_id: Bytes,
}

impl ActiveRequest {
    /// Counts the outcome of a request that has ended for its client.
    pub fn finish(self, outcome: RequestOutcome) {
        log::debug!(client_id:% = String::from_utf8_lossy(&self.client_id), outcome:?; "reply ended");
        let mut outcomes = self.metrics.outcomes.borrow_mut();
        if let Some(counts) = outcomes.get_mut(usize::from(self.class.0)) {
            match outcome {
                RequestOutcome::Ok => counts.ok += 1,
                RequestOutcome::Shed => counts.shed += 1,
                RequestOutcome::Error => counts.error += 1,
            }
        }
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        let active = &self.metrics.active_requests;
        active.set(active.get() - 1);
    }
}

impl Metrics {
    /// Creates metrics that are all 0. Each request class is shown from the start.
    pub fn new(class_names: Vec<String>) -> Rc<Metrics> {
        Rc::new(Metrics {
            outcomes: RefCell::new(vec![OutcomeCounts::default(); class_names.len()]),
            class_names,
            attempts_sent: Cell::default(),
            active_requests: Cell::default(),
            pool_size: Cell::default(),
            loop_lag: Cell::default(),
            surplus: Default::default(),
            invariants: Rc::default(),
            regions: RefCell::default(),
        })
    }

    /// Counts a request that has arrived as active until the returned value is dropped.
    pub fn request_started(self: &Rc<Metrics>, class: RequestClassId, client_id: Bytes) -> ActiveRequest {
        self.active_requests.set(self.active_requests.get() + 1);
        ActiveRequest { metrics: self.clone(), class, client_id }
    }

    /// Counts an attempt that was written in full to a cache host or the origin.
    pub fn attempt_sent(&self) {
        self.attempts_sent.set(self.attempts_sent.get() + 1);
    }

    /// Sets how many cache hosts are listed, and how many of these are ejected.
    pub fn set_pool_size(&self, pool_size: PoolSize) {
        self.pool_size.set(pool_size);
    }

    /// Sets the maximum lag of the event loop in the last second.
    pub fn set_loop_lag(&self, lag: Duration) {
        self.loop_lag.set(lag);
    }

    /// Counts bytes that a host was not asked for.
    pub fn surplus_found(&self, place: SurplusPlace) {
        let count = &self.surplus[place as usize];
        count.set(count.get() + 1);
    }

    /// Sets how many listed hosts are in and outside the ring, and which region forms the ring.
    pub fn set_regions<T: Clone>(&self, regions: &Regions<T>) {
        let is_ring = |name: &String| (name.clone(), name == regions.ring());
        self.regions.replace(Some(RegionMetrics {
            counts: regions.counts(),
            rings: regions.map().names().iter().map(is_ring).collect(),
            map_version: format!("{:08x}", regions.map().version()),
        }));
    }

    /// The invariants whose violations are shown.
    pub fn invariants(&self) -> Rc<Invariants> {
        self.invariants.clone()
    }

    /// Whether there are cache hosts to route to.
    pub fn has_hosts(&self) -> bool {
        self.pool_size.get().listed > 0
    }

    /// Renders all metrics. Nothing is computed for the page: all counts are kept up to date.
    pub fn render(&self) -> MetricsPage {
        let mut page = MetricsPage::default();
        self.add_outcomes(&mut page);
        self.add_totals(&mut page);
        self.add_surplus(&mut page);
        self.add_invariants(&mut page);
        if let Some(regions) = &*self.regions.borrow() {
            regions.add_to(&mut page);
        }
        page
    }

    fn add_outcomes(&self, page: &mut MetricsPage) {
        let outcomes = self.outcomes.borrow();
        let mut add = |name: &str, help: &str, count: fn(&OutcomeCounts) -> u64| {
            let by_class = self.class_names.iter().zip(outcomes.iter());
            let samples = by_class.map(|(class, counts)| Sample::labelled("kind", class, count(counts)));
            page.add(name, MetricKind::Counter, help, samples);
        };
        add("edge_proxy_ok", "Ops whose value was written to the client.", |counts| counts.ok);
        add("edge_proxy_shed", "Ops refused: trying again is harmless.", |counts| counts.shed);
        add("edge_proxy_errors", "Ops that failed.", |counts| counts.error);
    }

    fn add_surplus(&self, page: &mut MetricsPage) {
        let samples = SurplusPlace::EACH
            .map(|place| Sample::labelled("place", place.name(), self.surplus[place as usize].get()));
        let help = "Times that a host sent more than it was asked for, by where it was found.";
        page.add("edge_proxy_surplus_bytes", MetricKind::Counter, help, samples);
    }

    fn add_invariants(&self, page: &mut MetricsPage) {
        let counts = self.invariants.counts();
        let samples = counts.map(|(invariant, count)| Sample::labelled("name", invariant.name(), count));
        let help = "Promises seen broken from inside; each is a fault of this program.";
        page.add("edge_proxy_invariant_violations", MetricKind::Counter, help, samples);
    }

    fn add_totals(&self, page: &mut MetricsPage) {
        let mut add = |name: &str, kind: MetricKind, help: &str, value: u64| {
            page.add(name, kind, help, [Sample::unlabelled(value)]);
        };
        let PoolSize { listed, ejected, .. } = self.pool_size.get();
        let sent = "Pushes written whole, to cache hosts and the origin.";
        add("edge_proxy_tries", MetricKind::Counter, sent, self.attempts_sent.get());
        let active = "Ops taken and not ended.";
        add("edge_proxy_active", MetricKind::Gauge, active, self.active_requests.get());
        let in_list = "Cache hosts in the list.";
        add("edge_proxy_pool_size", MetricKind::Gauge, in_list, listed as u64);
        let avoided = "Listed cache hosts that are avoided now.";
        add("edge_proxy_pool_ejected", MetricKind::Gauge, avoided, ejected as u64);
        let lag = "How late the event loop was, at the most, in the last second, in ms.";
        add("edge_proxy_loop_lag_ms", MetricKind::Gauge, lag, self.loop_lag.get().as_millis() as u64);
    }
}

impl RegionMetrics {
    fn add_to(&self, page: &mut MetricsPage) {
        let help = "1 for the version of the map: the CRC-32 of all that it says but for the own region.";
        let version = Sample::labelled("version", &self.map_version, 1);
        page.add("edge_proxy_regions_map", MetricKind::Gauge, help, [version]);
        let help = "1 for the region whose hosts are this balancer's ring.";
        let rings = self.rings.iter();
        let rings = rings.map(|(name, is_ring)| Sample::labelled("region", name, u64::from(*is_ring)));
        page.add("edge_proxy_regions_ring", MetricKind::Gauge, help, rings);
        let mut add = |name: &str, help: &str, count: usize| {
            page.add(name, MetricKind::Gauge, help, [Sample::unlabelled(count as u64)]);
        };
        let counts = &self.counts;
        let ring = "Listed cache hosts of the ring's region.";
        add("edge_proxy_regions_hosts_ring", ring, counts.in_ring);
        let outside = "Listed cache hosts of no use here.";
        add("edge_proxy_regions_hosts_outside", outside, counts.outside_ring);
        let unnamed = "Of those, in no region's zone.";
        add("edge_proxy_regions_hosts_unnamed", unnamed, counts.unmapped_hosts);
        let zones = "Zones seen in no region.";
        add("edge_proxy_regions_zones_unnamed", zones, counts.unmapped_zones);
    }
}
