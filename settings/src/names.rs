//! Names of a deployment and the ids that the policy knows them by.

use std::collections::HashMap;

use basaltwood::types::{
    CellId, Endpoint, HostId, Lifecycle, Micros, RequestClassId, RingPosition, TenantId, ZoneId,
};

use crate::{OperatorSettings, UnknownName};

/// Gives names consecutive ids in the order in which they are first seen. Released ids are reused
/// first, the last released one before the others.
#[derive(Default)]
pub struct IdTable {
    ids: HashMap<String, u32>,
    /// The name of each id; for a released id, the name that it had last.
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

    /// Frees an id for reuse. Returns whether it was in use. Where the id was released before and
    /// its name has another id since, the name keeps that one.
    pub fn release(&mut self, id: u32) -> bool {
        let name = &self.names[id as usize];
        let in_use = self.ids.get(name) == Some(&id);
        if in_use {
            self.ids.remove(name);
            self.released.push(id);
        }
        in_use
    }

    /// The name that an id has, or had last. The id must have been assigned.
    pub fn name(&self, id: u32) -> &str {
        &self.names[id as usize]
    }

    /// The id of a name; `kind` tells the error what was looked up.
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

/// The names of a deployment and the ids that the policy knows them by.
pub struct NameTable {
    /// The hosts, by [`HostId`].
    pub hosts: IdTable,
    zones: IdTable,
    classes: IdTable,
    tenants: IdTable,
    /// The machine type of the origin's hosts, where there is an origin.
    origin_machine_type: Option<String>,
}

/// A host as an endpoint list describes it.
pub struct EndpointRecord<'a> {
    /// Its name.
    pub host: &'a str,
    /// Its zone, where the list names one.
    pub zone: Option<&'a str>,
    /// Its machine type, which tells the origin's hosts from cache hosts.
    pub kind: Option<&'a str>,
    /// Its cell, where the list names one.
    pub cell: Option<u32>,
    /// Whether it is up, draining or gone.
    pub lifecycle: Lifecycle,
    /// Its nominal size against the others'; 1 where the list gives none.
    pub weight: Option<f64>,
    /// When its process started, where the list says.
    pub started_at: Option<Micros>,
}

impl NameTable {
    /// The names that the settings give; hosts, and zones that the settings leave out, come with
    /// the lists.
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

    /// The id of a tenant; none where the settings have no tenant of this name.
    pub fn tenant_id(&self, name: &str) -> Option<TenantId> {
        self.tenants.lookup(name, "customer").ok().map(|id| TenantId(id as u16))
    }

    /// Whether machines of this type are the origin's.
    pub fn is_origin(&self, machine_type: Option<&str>) -> bool {
        self.origin_machine_type.is_some() && machine_type == self.origin_machine_type.as_deref()
    }

    /// The host for the policy, with ids for its names.
    pub fn endpoint(&mut self, record: &EndpointRecord) -> Endpoint {
        Endpoint {
            host: HostId(self.hosts.intern(record.host)),
            position: RingPosition::of(record.host),
            origin: self.is_origin(record.kind),
            zone: ZoneId(record.zone.map_or(0, |zone| self.zones.intern(zone))),
            cell: CellId(record.cell.unwrap_or(0)),
            lifecycle: record.lifecycle,
            weight: record.weight.unwrap_or(1.0),
            started_at: record.started_at,
        }
    }
}
