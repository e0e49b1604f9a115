//! The list of hosts: its JSON form, and how it is applied.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use basaltwood::types::{Endpoint, HostId, Lifecycle, Micros};
use basaltwood_regions::{ListedHost, RegionEvent, Regions};
use basaltwood_settings::{self as settings, micros};
use serde::Deserialize;
use serde_json::value::RawValue;
use tokio::task::yield_now;

use crate::loop_profile::Stage;
use crate::shared::Shared;

/// Valid start times, in ms since 1970.
const START_MS: std::ops::Range<f64> = 0.0..1e15;
/// Valid weights; any other one is ignored.
const WEIGHTS: std::ops::Range<f64> = 1e-3..1e6;
/// The number of entries that are parsed without yielding to other tasks.
const ENTRIES_PER_SLICE: usize = 256;
/// The number of characters of an invalid entry that the log shows.
const MAX_LOGGED_CHARS: usize = 200;

/// The list, or changes to it, in discovery's JSON. Entries are parsed one by one, so that an
/// invalid entry does not invalidate the others, and thousands of entries do not delay other tasks.
#[derive(Default, Deserialize)]
pub struct EndpointList {
    /// The list's version.
    generation: u64,
    /// Whether the list is complete, not a change to the previous one.
    #[serde(default)]
    reset: bool,
    #[serde(default)]
    instances: Vec<Box<RawValue>>,
}

impl EndpointList {
    /// The list's version.
    pub fn version(&self) -> u64 {
        self.generation
    }

    /// Whether the list is complete, not a change to the previous one.
    pub fn is_whole(&self) -> bool {
        self.reset
    }
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Instance {
    instance_id: String,
    #[serde(default)]
    host_port: String,
    #[serde(default)]
    zone: Option<String>,
    #[serde(default)]
    machine_type: Option<String>,
    #[serde(default)]
    cell: Option<u32>,
    lifecycle: String,
    #[serde(default)]
    weight: Option<f64>,
    #[serde(default)]
    started_at_ms: Option<f64>,
}

/// Why an entry of the list is ignored.
#[derive(Debug, thiserror::Error)]
enum InvalidInstance {
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error("unknown lifecycle {0:?}: expected \"active\", \"leaving\" or \"left\"")]
    Lifecycle(String),
    #[error("hostPort {0:?} is not an IP address with a port")]
    Address(String),
    #[error("startedAtMs is not a time in ms since 1970, from 0 to below 1e15")]
    Start,
}

/// The fields of an entry other than name, zone and lifecycle.
#[derive(Clone)]
pub struct HostDetails {
    /// `None` only for hosts that get no new attempts.
    address: Option<SocketAddr>,
    /// When the host started, on this process's clock.
    started_at: Option<Micros>,
    /// The same as the list has it, in milliseconds since 1970; 0 for long ago.
    started_at_ms: u64,
    weight: Option<f64>,
    cell: Option<u32>,
}

/// Selects the listed hosts that form this balancer's ring.
pub type HostRegions = Regions<HostDetails>;

/// A list with its entries parsed.
struct ParsedList {
    version: u64,
    hosts: Vec<ListedHost<HostDetails>>,
    read_at: Micros,
}

/// Applies a list without yielding, for the start; `whole` if it is complete. Returns its version.
pub fn apply_list(shared: &Shared, list: EndpointList, whole: bool) -> u64 {
    let read_at = read_clocks(shared);
    let hosts = list.instances.iter().filter_map(|entry| parse_or_log(shared, entry, read_at)).collect();
    apply_parsed_list(shared, ParsedList { version: list.generation, hosts, read_at }, whole)
}

/// Applies a list while requests are served: yields to them between slices of the entries.
pub async fn apply_list_in_slices(shared: &Shared, list: EndpointList, whole: bool) -> u64 {
    let read_at = read_clocks(shared);
    let mut hosts = Vec::with_capacity(list.instances.len());
    for (nth, slice) in list.instances.chunks(ENTRIES_PER_SLICE).enumerate() {
        // Not behind the last slice: requests that came with the list would be sent before it is in force.
        if nth > 0 {
            yield_now().await;
        }
        let parse = || slice.iter().filter_map(|entry| parse_or_log(shared, entry, read_at));
        shared.loop_profile.timed(Stage::ListParsed, || hosts.extend(parse()));
    }
    let parsed = ParsedList { version: list.generation, hosts, read_at };
    shared.loop_profile.timed(Stage::ListApplied, || apply_parsed_list(shared, parsed, whole))
}

/// Reads the wall clock for the start times of a list. Returns the time at which the list is read.
fn read_clocks(shared: &Shared) -> Micros {
    let now = shared.clock.now();
    shared.start_times.borrow_mut().read_wall_clock(now, shared.clock.unix_now());
    now
}

/// Applies a parsed list; `whole` if it is complete. Returns its version.
///
/// The order of the steps: the regions select the ring's hosts; hosts get their ids and upstream
/// connections their addresses; the policy takes the endpoints; attempts that wait for a connection
/// to a host that accepts no more attempts end unsent; requests with a new decision are woken; the
/// data of hosts that are gone is freed.
fn apply_parsed_list(shared: &Shared, list: ParsedList, whole: bool) -> u64 {
    let ParsedList { version, hosts, read_at } = list;
    let now = shared.clock.now();
    update_start_times(shared, &hosts, whole, read_at);
    let listed = hosts.len();
    // Hosts outside the ring get no id, so no connection and no memory.
    let hosts = match &shared.regions {
        Some(regions) => keep_ring_hosts(shared, &mut regions.borrow_mut(), whole, hosts),
        None => hosts,
    };
    let addresses = hosts.iter().filter_map(|host| host.details.address).collect();
    let endpoints: Vec<Endpoint> = hosts.into_iter().map(|host| register(shared, host)).collect();
    shared.counters.endpoint_lists.add();
    shared.router.borrow_mut().update_endpoints(now, whole, endpoints);
    end_replaced_hosts(shared, addresses, now);
    // Has to come before any request's task runs; covers hosts that a complete list lacks.
    shared.upstreams.update_accepting_hosts(|host| shared.router.borrow().accepts_attempts(host));
    shared.wake_requests();
    forget_released_hosts(shared);
    shared.budget.set_listed_hosts(shared.upstreams.known_hosts());
    if let Some(regions) = &shared.regions {
        shared.metrics.set_regions(&regions.borrow());
    }
    let cost_us = shared.clock.now() - now;
    log::info!(version, entries = listed, whole, cost_us; "list in force");
    version
}

/// Parses an entry. An invalid one is counted and logged.
fn parse_or_log(shared: &Shared, entry: &RawValue, now: Micros) -> Option<ListedHost<HostDetails>> {
    match parse_instance(shared, entry, now) {
        Ok(host) => Some(host),
        Err(cause) => {
            shared.counters.endpoints_refused.add();
            let shown: String = entry.get().chars().take(MAX_LOGGED_CHARS).collect();
            log::warn!("list entry {shown}: {cause}");
            None
        }
    }
}

/// Reports the list to [`StartTimes`](basaltwood_membership::StartTimes), which forgets hosts that
/// are gone.
fn update_start_times(shared: &Shared, hosts: &[ListedHost<HostDetails>], whole: bool, now: Micros) {
    let mut start_times = shared.start_times.borrow_mut();
    let all_hosts = whole.then(|| hosts.iter().map(|host| &*host.host).collect::<BTreeSet<&str>>());
    start_times.list_read(now, all_hosts.as_ref());
    for gone in hosts.iter().filter(|host| host.lifecycle == Lifecycle::Gone) {
        start_times.forget(&gone.host);
    }
}

/// Returns the updates of hosts that are in the ring, or leave it.
fn keep_ring_hosts(
    shared: &Shared,
    regions: &mut HostRegions,
    whole: bool,
    hosts: Vec<ListedHost<HostDetails>>,
) -> Vec<ListedHost<HostDetails>> {
    let update = regions.apply(whole, hosts);
    for event in &update.events {
        match event {
            RegionEvent::UnknownZone(zone) => {
                shared.counters.regions_zones_unnamed.add();
                let zone = zone.as_deref().map_or("no zone".to_owned(), |zone| format!("zone {zone:?}"));
                log::warn!("regions: hosts with {zone} in the list are not used: no region has this zone");
            }
            RegionEvent::RingChanged { before, now } => {
                shared.counters.regions_rings.add();
                log::warn!("regions: the ring changes from region {before:?} to region {now:?}");
            }
        }
    }
    shared.counters.regions_hosts_in.add_many(update.hosts_added);
    shared.counters.regions_hosts_out.add_many(update.hosts_removed);
    update.entries
}

/// Assigns an id to the host, and passes its address to the upstream connections.
fn register(shared: &Shared, host: ListedHost<HostDetails>) -> Endpoint {
    let ListedHost { host: name, zone, origin, lifecycle, details } = host;
    let endpoint = shared.names.borrow_mut().endpoint(&settings::EndpointRecord {
        host: &name,
        zone: zone.as_deref(),
        machine_type: None,
        cell: details.cell,
        lifecycle,
        weight: details.weight,
        started_at: details.started_at,
    });
    if let Some(address) = details.address {
        shared.upstreams.update_host(endpoint.host, address, details.started_at_ms, origin);
    }
    if lifecycle != Lifecycle::Up {
        let state = if lifecycle == Lifecycle::Draining { "leaving" } else { "left" };
        log::debug!("host {} ({name}) is {state}", endpoint.host.0);
    }
    Endpoint { origin, ..endpoint }
}

/// Ends the use of hosts whose address is another one's, as far as the list's `changed` addresses tell. Requests
/// under their name would go to a process that has its own slow start and drain.
fn end_replaced_hosts(shared: &Shared, changed: BTreeSet<SocketAddr>, now: Micros) {
    let dropped = shared.router.borrow().dropped_hosts();
    let is_in_use = |host: HostId| shared.router.borrow().is_in_use(host);
    for host in shared.upstreams.replaced_hosts(changed, &dropped, is_in_use) {
        log::info!(host = host.0; "host's address taken by another one: no longer used");
        shared.router.borrow_mut().host_replaced(now, host);
    }
}

/// Frees all memory of hosts that are gone: without it memory would grow as hosts are replaced.
fn forget_released_hosts(shared: &Shared) {
    for host in shared.router.borrow().released_hosts() {
        let mut names = shared.names.borrow_mut();
        // The policy returns every free id, including those that were released before.
        if names.hosts.release(host.0) {
            if let Some(regions) = &shared.regions {
                regions.borrow_mut().forget(names.hosts.name(host.0));
            }
            shared.upstreams.forget_host(host);
            shared.counters.hosts_released.add();
        }
    }
}

fn parse_instance(
    shared: &Shared,
    entry: &RawValue,
    now: Micros,
) -> Result<ListedHost<HostDetails>, InvalidInstance> {
    let instance = match serde_json::from_str::<Instance>(entry.get()) {
        Ok(instance) => instance,
        Err(cause) => parse_drain_or_removal(entry).ok_or(cause)?,
    };
    let lifecycle = match instance.lifecycle.as_str() {
        "active" => Lifecycle::Up,
        "leaving" => Lifecycle::Draining,
        "left" => Lifecycle::Gone,
        _ => return Err(InvalidInstance::Lifecycle(instance.lifecycle)),
    };
    let address = instance.host_port.parse::<SocketAddr>().ok().filter(|address| address.port() > 0);
    let started_at = start_time(shared, &instance, now);
    // A host that gets no new attempts needs neither address nor start time.
    if lifecycle == Lifecycle::Up {
        if address.is_none() {
            return Err(InvalidInstance::Address(instance.host_port));
        }
        if started_at.is_err() {
            return Err(InvalidInstance::Start);
        }
    }
    let weight = instance.weight.filter(|weight| WEIGHTS.contains(weight));
    Ok(ListedHost {
        host: instance.instance_id.into(),
        zone: instance.zone.map(Into::into),
        origin: shared.names.borrow().is_origin(instance.machine_type.as_deref()),
        lifecycle,
        details: HostDetails {
            address,
            started_at: started_at.unwrap_or(None),
            started_at_ms: instance.started_at_ms.unwrap_or(0.0) as u64,
            weight,
            cell: instance.cell,
        },
    })
}

/// Reads only name and lifecycle of an entry that drains or removes a host. Such an entry applies
/// even if other fields are invalid: if it were lost, a draining host would still get requests.
fn parse_drain_or_removal(entry: &RawValue) -> Option<Instance> {
    let value: serde_json::Value = serde_json::from_str(entry.get()).ok()?;
    let text = |name: &str| value.get(name)?.as_str().map(str::to_owned);
    let lifecycle = text("lifecycle").filter(|lifecycle| lifecycle != "active")?;
    Some(Instance { instance_id: text("instanceId")?, lifecycle, ..Instance::default() })
}

/// Returns a host's start time on this process's clock; 0 ms means that it is not given.
fn start_time(shared: &Shared, instance: &Instance, now: Micros) -> Result<Option<Micros>, InvalidInstance> {
    let Some(ms) = instance.started_at_ms.filter(|&ms| ms != 0.0) else {
        shared.start_times.borrow_mut().listed_without_start(&instance.instance_id);
        return Ok(None);
    };
    if !START_MS.contains(&ms) {
        return Err(InvalidInstance::Start);
    }
    let mut start_times = shared.start_times.borrow_mut();
    Ok(Some(start_times.start_of(&instance.instance_id, micros(ms), now)))
}
