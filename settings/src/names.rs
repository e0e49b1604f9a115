//! Ids that the policy uses in place of a deployment's names.

use std::collections::HashMap;

use basaltwood::types::{
    CellId, Endpoint, HostId, Lifecycle, Micros, RequestClassId, RingPosition, TenantId, ZoneId,
};

use crate::{OperatorSettings, UnknownName};

/// Assigns consecutive ids to names in the order in which they are first seen. Released ids are
/// reused first, the most recently released id before the others.
#[derive(Default)]
pub struct IdTable {
    ids: HashMap<String, u32>,
    /// The name of each id; for a released id, its last name.
    names: Vec<String>,
    /// Ids that are free for reuse.
    released: Vec<u32>,
}

impl IdTable {
    /// The id of a name; assigns one if it has none.
    pub fn intern(&mut self, name: &str) -> u32 {
        if let Some(&id) = self.ids.get(name) {
            return id;
        }
        let id = self.released.pop().unwrap_or(self.names.len() as u32);
        self.ids.insert(name.to_owned(), id);
        match self.names.get_mut(id as usize) {
            Some(former) => name.clone_into(former),
            None => self.names.push(name.to_owned()),
        }
        id
    }

    /// Frees an id for reuse and returns whether it was in use. Releasing an id a second time has
    /// no effect, even if its last name has since been assigned another id.
    pub fn release(&mut self, id: u32) -> bool {
        let name = &self.names[id as usize];
        let in_use = self.ids.get(name) == Some(&id);
        if in_use {
            self.ids.remove(name);
            self.released.push(id);
        }
        in_use
    }

    /// The name of an id; for a released id, its last name. Panics if the id was never assigned.
    pub fn name(&self, id: u32) -> &str {
        &self.names[id as usize]
    }

    /// The id of a name. `kind` says what the name stands for and goes into the error.
    ///
    /// # Errors
    /// The name has no id.
    pub fn lookup(&self, name: &str, kind: &'static str) -> Result<u32, UnknownName> {
        self.ids.get(name).copied().ok_or_else(|| UnknownName { kind, name: name.to_owned() })
    }
}

impl<'a> FromIterator<&'a str> for IdTable {
    fn from_iter<I: IntoIterator<Item = &'a str>>(names: I) -> IdTable {
        let mut table = IdTable::default();
        for name in names {
            table.intern(name);
        }
        table
    }
}

/// Assigns and looks up the ids of a deployment's hosts, zones, request classes and tenants.
pub struct NameTable {
    /// The hosts, by [`HostId`].
    pub hosts: IdTable,
    zones: IdTable,
    classes: IdTable,
    tenants: IdTable,
    /// The machine type of the origin's hosts, if there is an origin.
    origin_machine_type: Option<String>,
}

/// A host as an endpoint list describes it.
pub struct EndpointRecord<'a> {
    /// The host's name.
    pub host: &'a str,
    /// Its zone, if the list names one.
    pub zone: Option<&'a str>,
    /// Its machine type, which distinguishes the origin's hosts from cache hosts.
    pub machine_type: Option<&'a str>,
    /// Its cell, if the list names one.
    pub cell: Option<u32>,
    /// Whether it is up, draining or gone.
    pub lifecycle: Lifecycle,
    /// Its nominal size relative to other hosts; 1 if the list gives none.
    pub weight: Option<f64>,
    /// When its process started, if the list says so.
    pub started_at: Option<Micros>,
}

impl NameTable {
    /// A table with the names from the settings. Hosts, and zones that the settings leave out, are
    /// added by [`NameTable::endpoint`].
    pub fn new(settings: &OperatorSettings) -> NameTable {
        NameTable {
            hosts: IdTable::default(),
            zones: settings.zones.iter().map(String::as_str).collect(),
            classes: settings.categories.iter().map(|category| category.name.as_str()).collect(),
            tenants: settings.tenants.iter().flatten().map(|tenant| tenant.name.as_str()).collect(),
            origin_machine_type: settings.origin_machine_type().map(str::to_owned),
        }
    }

    /// The classes' names, in the order of their ids.
    pub fn class_names(&self) -> Vec<String> {
        self.classes.names.clone()
    }

    /// The id of a class.
    ///
    /// # Errors
    /// The settings have no category of this name.
    pub fn class_id(&self, name: &str) -> Result<RequestClassId, UnknownName> {
        self.classes.lookup(name, "category").map(|id| RequestClassId(id as u16))
    }

    /// The id of a tenant, or `None` if the settings have no tenant of this name.
    pub fn tenant_id(&self, name: &str) -> Option<TenantId> {
        self.tenants.lookup(name, "tenant").ok().map(|id| TenantId(id as u16))
    }

    /// Whether machines of this type are the origin's.
    pub fn is_origin(&self, machine_type: Option<&str>) -> bool {
        self.origin_machine_type.is_some() && machine_type == self.origin_machine_type.as_deref()
    }

    /// Converts a record to the policy's form; assigns ids to names that have none.
    pub fn endpoint(&mut self, record: &EndpointRecord) -> Endpoint {
        Endpoint {
            host: HostId(self.hosts.intern(record.host)),
            position: RingPosition::of(record.host),
            origin: self.is_origin(record.machine_type),
            zone: ZoneId(record.zone.map_or(0, |zone| self.zones.intern(zone))),
            cell: CellId(record.cell.unwrap_or(0)),
            lifecycle: record.lifecycle,
            weight: record.weight.unwrap_or(1.0),
            started_at: record.started_at,
        }
    }
}
