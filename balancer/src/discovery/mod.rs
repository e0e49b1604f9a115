//! The list of hosts: watched at discovery from start to exit, over HTTP/1.1. What is known at the start
//! serves until discovery answers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use basaltwood::types::{Endpoint, Lifecycle, Micros};
use basaltwood_membership::{WatchError, WatchSchedule};
use basaltwood_regions::{ListedHost, RegionEvent, Regions};
use basaltwood_settings::{self as settings, micros};
use basaltwood_wire::http;
use serde::Deserialize;
use tokio::io::AsyncWriteExt;
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until, timeout_at, Instant};

use crate::clock::duration;
use crate::read;
use crate::shared::Shared;
use crate::upstream::UpstreamConnection;

/// From one call to the next at least: a discovery that holds nothing must not keep the balancer busy.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(20);
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Starts that lie further ahead than this are absurd.
const MAX_START_AHEAD: Micros = 3_600_000_000;

/// The list as discovery writes it. Entries are read one by one, so that an absurd one spoils no other.
#[derive(Default, Deserialize)]
pub struct EndpointList {
    generation: u64,
    #[serde(default)]
    reset: bool,
    #[serde(default)]
    instances: Vec<serde_json::Value>,
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

/// What an entry tells of a host beside its place and lifecycle.
#[derive(Clone)]
pub struct HostDetails {
    /// None where it takes nothing new.
    address: Option<SocketAddr>,
    started_at: Option<Micros>,
    weight: Option<f64>,
    cell: Option<u32>,
}

pub type HostRegions = Regions<HostDetails>;

/// Tells the facade and the servers what a page says; its generation.
pub fn apply_list(shared: &Shared, list: EndpointList, whole: bool) -> u64 {
    let now = shared.clock.now();
    let mut entries = Vec::with_capacity(list.instances.len());
    for value in list.instances {
        match parse_instance(shared, &value, now) {
            Ok(entry) => entries.push(entry),
            Err(cause) => {
                shared.counters.endpoints_refused.add();
                log::warn!("list entry {}: {cause}", value.to_string().chars().take(200).collect::<String>());
            }
        }
    }
    let listed = entries.len();
    // A host outside the ring gets no number, and so nothing else.
    let entries = match &shared.regions {
        Some(regions) => keep_ring_hosts(shared, &mut regions.borrow_mut(), whole, entries),
        None => entries,
    };
    let entries: Vec<Endpoint> = entries.into_iter().map(|entry| register(shared, entry)).collect();
    shared.counters.endpoint_lists.add();
    log::debug!("list {}: {} entries{}", list.generation, listed, if whole { ", all there are" } else { "" });
    shared.router.borrow_mut().update_endpoints(now, whole, entries);
    // Before any op is told, and for hosts that a whole list does not name too.
    shared.upstreams.settle(|host| shared.router.borrow().accepts_attempts(host));
    shared.wake_requests();
    // Hosts come and go all day: what is known of one that has gone goes too.
    for host in shared.router.borrow().released_hosts() {
        let mut names = shared.names.borrow_mut();
        // The module names those that it has free, whether or not their numbers were forgotten before.
        if names.hosts.forget(host.0) {
            if let Some(regions) = &shared.regions {
                regions.borrow_mut().forget(&names.hosts.texts[host.0 as usize]);
            }
            shared.upstreams.forget(host);
            shared.counters.hosts_released.add();
        }
    }
    if let Some(regions) = &shared.regions {
        shared.metrics.set_regions(&regions.borrow());
    }
    list.generation
}

/// What of a list the module is to hear where there are regions.
fn keep_ring_hosts(
    shared: &Shared,
    regions: &mut HostRegions,
    whole: bool,
    entries: Vec<ListedHost<HostDetails>>,
) -> Vec<ListedHost<HostDetails>> {
    let update = regions.apply(whole, entries);
    for event in &update.events {
        match event {
            RegionEvent::UnknownZone(zone) => {
                shared.counters.regions_zones_unnamed.add();
                let zone = zone.as_deref().map_or("no zone".to_owned(), |zone| format!("zone {zone:?}"));
                log::warn!("regions: the list has hosts of {zone}, which no region names: not used here");
            }
            RegionEvent::RingChanged { before, now } => {
                shared.counters.regions_rings.add();
                log::warn!("regions: the ring is region {now:?} from now on, {before:?} before");
            }
        }
    }
    shared.counters.regions_hosts_in.add_many(update.hosts_added);
    shared.counters.regions_hosts_out.add_many(update.hosts_removed);
    update.entries
}

/// A host as the module knows it, and its place for the servers.
fn register(shared: &Shared, entry: ListedHost<HostDetails>) -> Endpoint {
    let ListedHost { host, zone, origin, lifecycle, details } = entry;
    let listed = shared.names.borrow_mut().endpoint(&settings::EndpointRecord {
        host: &host,
        zone: zone.as_deref(),
        kind: None,
        cell: details.cell,
        lifecycle,
        weight: details.weight,
        started_at: details.started_at,
    });
    let listed = Endpoint { origin, ..listed };
    if let Some(address) = details.address {
        shared.upstreams.place(listed.host, address, origin);
    }
    if lifecycle != Lifecycle::Up {
        let ends = if lifecycle == Lifecycle::Draining { "leaving" } else { "left" };
        log::debug!("host {} ({host}) is {ends}", listed.host.0);
    }
    listed
}

/// What ends a host's use is read whatever else its entry says: a drain lost for an absurd address would break rule 3.
fn ending_instance(value: &serde_json::Value) -> Option<Instance> {
    let word = |name: &str| value.get(name)?.as_str().map(str::to_owned);
    let lifecycle = word("lifecycle").filter(|lifecycle| lifecycle != "active")?;
    Some(Instance { instance_id: word("instanceId")?, lifecycle, ..Instance::default() })
}

fn parse_instance(
    shared: &Shared,
    value: &serde_json::Value,
    now: Micros,
) -> Result<ListedHost<HostDetails>, String> {
    let instance = match Instance::deserialize(value) {
        Ok(instance) => instance,
        Err(cause) => ending_instance(value).ok_or_else(|| cause.to_string())?,
    };
    let lifecycle = match instance.lifecycle.as_str() {
        "active" => Lifecycle::Up,
        "leaving" => Lifecycle::Draining,
        "left" => Lifecycle::Gone,
        other => return Err(format!("unknown lifecycle {other}")),
    };
    let address = instance.host_port.parse::<SocketAddr>().ok().filter(|address| address.port() > 0);
    // A host that takes nothing new needs no address, and no start.
    let up = lifecycle == Lifecycle::Up;
    if address.is_none() && up {
        return Err(format!("{:?} is no address with a port", instance.host_port));
    }
    let started = match instance.started_at_ms {
        Some(ms) if ms != 0.0 => {
            let started =
                Some(ms).filter(|ms| (0.0..1e15).contains(ms)).map(|ms| shared.clock.from_unix(micros(ms)));
            let started = started.filter(|&started| started < now + MAX_START_AHEAD);
            if started.is_none() && up {
                return Err("an absurd start".to_owned());
            }
            started
        }
        _ => None,
    };
    let weight = instance.weight.filter(|weight| (1e-3..1e6).contains(weight));
    Ok(ListedHost {
        host: instance.instance_id.into(),
        zone: instance.zone.map(Into::into),
        origin: shared.names.borrow().is_origin(instance.machine_type.as_deref()),
        lifecycle,
        details: HostDetails { address, started_at: started, weight, cell: instance.cell },
    })
}

/// Watches for ever, and moves at once where discovery is said to be elsewhere: the call under way is given up
/// and its connection closed, so that nothing is taken from two places.
pub async fn watch(
    shared: Rc<Shared>,
    mut discovery: watch::Receiver<SocketAddr>,
    mut schedule: WatchSchedule,
) {
    loop {
        let address = *discovery.borrow_and_update();
        tokio::select! {
            () = watch_at(&shared, address, &mut schedule) => {}
            moved = discovery.changed() => match moved {
                Ok(()) => schedule.discovery_moved(),
                Err(_) => return,
            },
        }
    }
}

/// Watches at one address for ever.
async fn watch_at(shared: &Shared, address: SocketAddr, schedule: &mut WatchSchedule) {
    let mut connection = None;
    loop {
        let began = Instant::now();
        let next = began + MIN_CALL_INTERVAL;
        log::debug!("asks discovery from {:?}", schedule.known_version());
        match fetch(shared, &mut connection, address, schedule, began).await {
            Ok(list) => {
                if schedule.consecutive_failures() > 0 {
                    log::info!("discovery answers again");
                }
                let whole = list.reset || schedule.known_version().is_none();
                let generation = apply_list(shared, list, whole);
                schedule.succeeded(generation, whole);
                sleep_until(next).await;
            }
            Err(error) => {
                connection = None;
                let counters = &shared.counters;
                match error {
                    WatchError::Unavailable { .. } => counters.discovery_unavailable.add(),
                    WatchError::TimedOut(_) => counters.discovery_timeouts.add(),
                    WatchError::InvalidResponse(_) => counters.discovery_invalid.add(),
                }
                if schedule.consecutive_failures() == 0 {
                    log::warn!("discovery: {}; the list stays as it is", error.cause());
                }
                sleep(duration(schedule.failed(&error, elapsed(began)))).await;
            }
        }
    }
}

fn elapsed(began: Instant) -> Micros {
    began.elapsed().as_micros() as Micros
}

async fn fetch(
    shared: &Shared,
    connection: &mut Option<UpstreamConnection>,
    discovery: SocketAddr,
    schedule: &WatchSchedule,
    began: Instant,
) -> Result<EndpointList, WatchError> {
    let io_error = |cause: std::io::Error| WatchError::TimedOut(cause.to_string());
    let timed_out = |what: &str| WatchError::TimedOut(what.to_owned());
    let UpstreamConnection { stream, buffer, .. } = match connection {
        Some(open) => open,
        None => {
            let until = began + duration(schedule.response_timeout().min(schedule.call_timeout()));
            // Its descriptor is set aside: where clients and hosts hold all others, a drain must be read still.
            let opening = shared.upstreams.open(None, discovery, until, MAX_BODY_BYTES + 64 * 1024);
            connection.insert(opening.await.map_err(io_error)?)
        }
    };
    let path = match schedule.known_version() {
        Some(from) => format!("/v1/servers?from={from}&hold_ms={}", schedule.hold_for(elapsed(began)) / 1000),
        None => "/v1/servers".to_owned(),
    };
    let request = http::request("GET", &path, &discovery.to_string(), &[], None);
    let answer = timeout_at(began + duration(schedule.call_timeout()), async {
        stream.write_all(&request).await.map_err(io_error)?;
        loop {
            match read(stream, buffer).await {
                Ok(0) => return Err(timed_out("it closed the connection")),
                Ok(_) => {}
                Err(cause) => return Err(io_error(cause)),
            }
            if let Some(answer) =
                http::answer(buffer.bytes(), MAX_BODY_BYTES).map_err(WatchError::InvalidResponse)?
            {
                return Ok(answer);
            }
        }
    });
    let answer = answer.await.map_err(|_| timed_out("it is silent"))??;
    buffer.consume(answer.used);
    if !answer.keep {
        *connection = None;
    }
    match answer.status {
        200 => {}
        // Too much is asked of it, or it is not itself: asking for more would make that worse.
        429 | 500.. => {
            let retry_after = answer.retry_after.map(|seconds| Micros::from(seconds) * 1_000_000);
            return Err(WatchError::Unavailable { cause: format!("status {}", answer.status), retry_after });
        }
        status => return Err(WatchError::InvalidResponse(format!("status {status}"))),
    }
    serde_json::from_slice(&answer.body).map_err(|cause| WatchError::InvalidResponse(cause.to_string()))
}
