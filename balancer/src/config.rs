//! What a balancer is told at its start, from the file that PROXY_CONFIG names, and the operators' map of
//! regions.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::path::PathBuf;

use basaltwood::types::{PolicyConfig, RingPosition};
use basaltwood_regions::RegionMap;
use basaltwood_settings::{NameTable, OperatorSettings, RuntimeLimits};
use serde::Deserialize;

use crate::discovery::EndpointList;

/// Where the map of regions is looked for, from the working directory, unless `$BASALTWOOD_REGIONS` names
/// another file.
const DEFAULT_REGION_MAP: &str = "deploy/regions.toml";

#[derive(Deserialize)]
struct ConfigFile {
    name: String,
    listen: String,
    discovery: String,
    /// Where operators call; without it none can.
    #[serde(default, rename = "mgmt")]
    admin: Option<String>,
    seed: String,
    #[serde(default)]
    limits: ResourceLimits,
    #[serde(default)]
    known: EndpointList,
    settings: OperatorSettings,
}

#[derive(Deserialize)]
#[serde(default)]
struct ResourceLimits {
    memory_mb: f64,
    sockets: usize,
}

impl Default for ResourceLimits {
    fn default() -> ResourceLimits {
        ResourceLimits { memory_mb: 192.0, sockets: 1024 }
    }
}

pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub admin: Option<SocketAddr>,
    /// The clients' listening socket, where the platform holds it.
    pub inherited_descriptor: Option<u16>,
    /// A folder that every process of this balancer sees.
    pub shared_folder: Option<PathBuf>,
    pub memory_bytes: usize,
    pub max_sockets: usize,
    pub known_endpoints: EndpointList,
    /// For the module and the pools: its balancers are those that a host deals with, the own region's where the
    /// map says.
    pub policy: PolicyConfig,
    /// All balancers that ask discovery as this one does.
    pub fleet_size: u32,
    /// None where there are no regions.
    pub region_map: Option<RegionMap>,
    pub names: NameTable,
    pub runtime_limits: RuntimeLimits,
}

/// Reads the operators' map; none where there is no file and none was named.
fn read_region_map(named: Option<String>) -> Result<Option<RegionMap>, String> {
    let file = named.as_deref().unwrap_or(DEFAULT_REGION_MAP);
    match std::fs::read_to_string(file) {
        Ok(text) => RegionMap::parse(file, &text).map(Some),
        Err(cause) if named.is_none() && cause.kind() == ErrorKind::NotFound => Ok(None),
        Err(cause) => Err(format!("{file}: {cause}: mend $BASALTWOOD_REGIONS or the file, or remove both")),
    }
}

/// A variable of the environment; an empty one is none.
fn env_variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|text| !text.is_empty())
}

impl Config {
    pub fn read() -> Result<Config, String> {
        let path = std::env::var("PROXY_CONFIG").map_err(|_| "PROXY_CONFIG is not set".to_owned())?;
        let text = std::fs::read_to_string(&path).map_err(|cause| format!("PROXY_CONFIG {path}: {cause}"))?;
        let mut config = Config::parse(&text).map_err(|cause| format!("PROXY_CONFIG {path}: {cause}"))?;
        config.region_map = read_region_map(env_variable("BASALTWOOD_REGIONS"))?;
        if let Some(balancers) = config.region_map.as_ref().and_then(RegionMap::balancers) {
            config.policy.balancers = balancers;
        }
        Ok(config)
    }

    fn parse(text: &str) -> Result<Config, String> {
        // The line names the field too: a place in a file of one line helps nobody.
        let reader = &mut serde_json::Deserializer::from_str(text);
        let file: ConfigFile = serde_path_to_error::deserialize(reader).map_err(|cause| cause.to_string())?;
        let address = |what: &str, text: &str| {
            text.parse::<SocketAddr>().map_err(|_| format!("{what} {text:?} is no address with a port"))
        };
        let admin = file.admin.or_else(|| env_variable("PROXY_MGMT"));
        let admin = admin.map(|text| address("mgmt", &text)).transpose()?;
        let inherited_descriptor = env_variable("PROXY_INHERITED_FD").map(|text| {
            text.parse().map_err(|_| format!("PROXY_INHERITED_FD {text:?} is no descriptor's number"))
        });
        let seed = u64::from_str_radix(&file.seed, 16).unwrap_or_else(|_| RingPosition::of(&file.seed).0);
        if !(8.0..1e9).contains(&file.limits.memory_mb) || file.limits.sockets < 32 {
            return Err("limits: at least 8 MB and 32 sockets are needed".to_owned());
        }
        let mut policy = file.settings.policy_config(seed)?;
        file.settings
            .ignored_capabilities()
            .iter()
            .for_each(|what| log::info!("allowed and not used, {what}"));
        // Calling a push off closes its connection, since none can be told from the next on it: the host works on
        // all the same, and the next push waits for a new one. So a push runs on, and ends as what it was.
        policy.capabilities.cancellation = false;
        Ok(Config {
            listen: address("listen", &file.listen)?,
            discovery: address("discovery", &file.discovery)?,
            admin,
            inherited_descriptor: inherited_descriptor.transpose()?,
            shared_folder: env_variable("TMPDIR").map(PathBuf::from),
            memory_bytes: (file.limits.memory_mb * 1024.0 * 1024.0) as usize,
            max_sockets: file.limits.sockets,
            known_endpoints: file.known,
            fleet_size: policy.balancers,
            policy,
            region_map: None,
            names: NameTable::new(&file.settings),
            runtime_limits: file.settings.runtime_limits(),
            name: file.name,
        })
    }
}
