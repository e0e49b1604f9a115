//! The configuration that a balancer reads at its start, and again at SIGHUP: the JSON file that
//! `PROXY_CONFIG` names, variables of the environment, and the operators' map of regions.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use basaltwood::types::{PolicyConfig, RingPosition};
use basaltwood_regions::{RegionMap, RegionMapError};
use basaltwood_settings::{NameTable, OperatorSettings, RuntimeLimits, SettingsError};
use serde::Deserialize;

use crate::discovery::EndpointList;
use crate::io_errors::FaultOrigin;

/// The map of regions, relative to the working directory, unless `$BASALTWOOD_REGIONS` names
/// another file.
const DEFAULT_REGION_MAP: &str = "deploy/regions.toml";
/// Valid values of `limits.memory_mb`.
const MEMORY_MB: std::ops::Range<f64> = 8.0..1e9;
/// The smallest `limits.sockets` that a process can serve with.
const MIN_SOCKETS: usize = 32;

/// Why the configuration can't be read. Displayed, it is one line that names the file and the field
/// or line at fault.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The variable that names the configuration file is missing.
    #[error("PROXY_CONFIG is not set: expected the path of the configuration file")]
    NotSet,
    /// The configuration file can't be read.
    #[error("PROXY_CONFIG {path}: {cause}")]
    Unreadable {
        /// The file, as `PROXY_CONFIG` names it.
        path: String,
        /// The system's error.
        cause: io::Error,
    },
    /// The configuration file, or a variable that belongs to it, is invalid.
    #[error("PROXY_CONFIG {path}: {cause}")]
    Invalid {
        /// The file, as `PROXY_CONFIG` names it.
        path: String,
        /// The field and what is wrong with it.
        cause: InvalidConfig,
    },
    /// The map of regions exists, or was named, and can't be read.
    #[error("{file}: {cause}: correct the file or $BASALTWOOD_REGIONS, if set; without both no map is used")]
    UnreadableRegionMap {
        /// The map's file.
        file: String,
        /// The system's error.
        cause: io::Error,
    },
    /// The map of regions is invalid.
    #[error(transparent)]
    InvalidRegionMap(#[from] RegionMapError),
}

impl ConfigError {
    /// Whether a later attempt may succeed: this process or its machine lacks descriptors or
    /// memory, or the file is being replaced.
    pub fn is_temporary(&self) -> bool {
        let is_missing = self.io_cause().is_some_and(|cause| cause.kind() == io::ErrorKind::NotFound);
        is_missing || self.is_shortage()
    }

    /// Whether this process or its machine temporarily lacks descriptors or memory. A missing
    /// file does not count: at the start it will not appear by itself.
    pub fn is_shortage(&self) -> bool {
        self.io_cause().is_some_and(|cause| {
            cause.kind() != io::ErrorKind::PermissionDenied && FaultOrigin::of(cause) != FaultOrigin::Other
        })
    }

    /// The system's error, if a file could not be read.
    fn io_cause(&self) -> Option<&io::Error> {
        match self {
            ConfigError::Unreadable { cause, .. } | ConfigError::UnreadableRegionMap { cause, .. } => {
                Some(cause)
            }
            ConfigError::NotSet | ConfigError::Invalid { .. } | ConfigError::InvalidRegionMap(_) => None,
        }
    }
}

/// What is wrong in the configuration file, or in a variable of the environment that belongs to it.
#[derive(Debug, thiserror::Error)]
pub enum InvalidConfig {
    /// The file is not JSON, or a field has the wrong type.
    #[error(transparent)]
    Json(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// A field that should hold an address with a port.
    #[error("{field} {text:?} is not an IP address with a port")]
    Address {
        /// The field's name in the file.
        field: &'static str,
        /// The field's text.
        text: String,
    },
    /// `PROXY_INHERITED_FD` is not a number.
    #[error("PROXY_INHERITED_FD {text:?} is not the number of a descriptor")]
    Descriptor {
        /// The variable's text.
        text: String,
    },
    /// The limits are too small to serve with, or out of range.
    #[error(
        "limits: memory_mb has to be in 8..1e9 and sockets at least 32, found {memory_mb} and {sockets}"
    )]
    Limits {
        /// The value of `limits.memory_mb`.
        memory_mb: f64,
        /// The value of `limits.sockets`.
        sockets: usize,
    },
    /// The operators' settings object is invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

#[derive(Deserialize)]
struct ConfigFile {
    name: String,
    listen: String,
    discovery: String,
    /// The address of the admin interface; without it, and without `PROXY_MGMT`, there is none.
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

impl ResourceLimits {
    fn are_sufficient(&self) -> bool {
        MEMORY_MB.contains(&self.memory_mb) && self.sockets >= MIN_SOCKETS
    }

    fn memory_bytes(&self) -> usize {
        (self.memory_mb * 1024.0 * 1024.0) as usize
    }
}

/// The configuration of one balancer process.
pub struct Config {
    /// The balancer's name in the log.
    pub name: String,
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// The address of discovery, where the list of hosts is watched.
    pub discovery: SocketAddr,
    /// The address of the admin interface, if there is one.
    pub admin: Option<SocketAddr>,
    /// The descriptor of the clients' listening socket, if the process inherits it from the
    /// platform.
    pub inherited_descriptor: Option<u16>,
    /// A folder that all processes of this balancer share.
    pub shared_folder: Option<PathBuf>,
    /// The memory limit of this balancer, in bytes. During a takeover its two processes share it.
    pub memory_bytes: usize,
    /// The limit on open sockets of this balancer. During a takeover its two processes share it.
    pub max_sockets: usize,
    /// The hosts to use until discovery answers.
    pub known_endpoints: EndpointList,
    /// The parameters of the policy and the connection pools. `policy.balancers` is the number of
    /// balancers that send to the same hosts: those of the own region, if the map of regions gives
    /// their number.
    pub policy: PolicyConfig,
    /// The number of balancers that call the same discovery.
    pub fleet_size: u32,
    /// `None` if the operators gave no map of regions.
    pub region_map: Option<RegionMap>,
    /// The deployment's names, with the ids that the policy uses for them.
    pub names: NameTable,
    /// Limits on connections and open requests.
    pub runtime_limits: RuntimeLimits,
}

impl Config {
    /// Reads the configuration from the environment and the files that it names.
    ///
    /// # Errors
    /// [`ConfigError`] if a file is missing, can't be read or is invalid.
    pub fn read() -> Result<Config, ConfigError> {
        let path = std::env::var("PROXY_CONFIG").map_err(|_| ConfigError::NotSet)?;
        let mut config = match std::fs::read_to_string(&path) {
            Ok(text) => Config::parse(&text).map_err(|cause| ConfigError::Invalid { path, cause })?,
            Err(cause) => return Err(ConfigError::Unreadable { path, cause }),
        };
        config.region_map = read_region_map(env_variable("BASALTWOOD_REGIONS"))?;
        if let Some(balancers) = config.region_map.as_ref().and_then(RegionMap::balancers) {
            config.policy.balancers = balancers;
        }
        Ok(config)
    }

    fn parse(text: &str) -> Result<Config, InvalidConfig> {
        // Errors name the field's path, as a line and column do not help in a file of one line.
        let reader = &mut serde_json::Deserializer::from_str(text);
        let file: ConfigFile = serde_path_to_error::deserialize(reader)?;
        let admin = file.admin.or_else(|| env_variable("PROXY_MGMT"));
        let admin = admin.map(|text| parse_address("mgmt", &text)).transpose()?;
        if !file.limits.are_sufficient() {
            let ResourceLimits { memory_mb, sockets } = file.limits;
            return Err(InvalidConfig::Limits { memory_mb, sockets });
        }
        let policy = policy_config(&file.settings, &file.seed)?;
        Ok(Config {
            listen: parse_address("listen", &file.listen)?,
            discovery: parse_address("discovery", &file.discovery)?,
            admin,
            inherited_descriptor: inherited_descriptor()?,
            shared_folder: env_variable("TMPDIR").map(PathBuf::from),
            memory_bytes: file.limits.memory_bytes(),
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

/// A variable of the environment; an empty one counts as unset.
fn env_variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|text| !text.is_empty())
}

fn parse_address(field: &'static str, text: &str) -> Result<SocketAddr, InvalidConfig> {
    text.parse().map_err(|_| InvalidConfig::Address { field, text: text.to_owned() })
}

fn inherited_descriptor() -> Result<Option<u16>, InvalidConfig> {
    let Some(text) = env_variable("PROXY_INHERITED_FD") else { return Ok(None) };
    let descriptor = text.parse().map_err(|_| InvalidConfig::Descriptor { text })?;
    Ok(Some(descriptor))
}

/// The policy's parameters. A seed that is not a hexadecimal number is hashed.
fn policy_config(settings: &OperatorSettings, seed: &str) -> Result<PolicyConfig, InvalidConfig> {
    let seed = u64::from_str_radix(seed, 16).unwrap_or_else(|_| RingPosition::of(seed).0);
    let mut policy = settings.policy_config(seed)?;
    for capability in settings.ignored_capabilities() {
        log::info!("settings: allowed and not used, {capability}");
    }
    // RESP2 has no way to cancel: the connection would have to be closed, the host would still
    // finish the work, and the next attempt would wait for a new connection. So an attempt that the
    // policy could cancel runs to its end, and its real outcome counts.
    policy.capabilities.cancellation = false;
    Ok(policy)
}

/// Reads the operators' map of regions. `None` if no file is named and no file exists at the
/// default path.
fn read_region_map(named: Option<String>) -> Result<Option<RegionMap>, ConfigError> {
    let file = named.as_deref().unwrap_or(DEFAULT_REGION_MAP);
    match std::fs::read_to_string(file) {
        Ok(text) => Ok(Some(RegionMap::parse(file, &text)?)),
        Err(cause) if named.is_none() && cause.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(cause) => Err(ConfigError::UnreadableRegionMap { file: file.to_owned(), cause }),
    }
}
