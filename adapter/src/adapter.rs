//! The balancers that this process hosts.

use std::collections::{BTreeMap, HashMap};

use basaltwood::types::Micros;
use basaltwood_settings::micros;

use crate::error::{BatchError, EventError};
use crate::instance::Instance;
use crate::protocol::{encode_failed_start, Batch, Event, ListEntry, Outbox, Reply};

/// The instance id of events that name no balancer.
const NO_INSTANCE: u64 = u64::MAX;

/// The balancers that this process hosts. They share only the numbered endpoint lists, which are
/// part of the protocol.
#[derive(Default)]
pub struct Adapter {
    lists: HashMap<u32, Vec<ListEntry>>,
    instances: HashMap<u64, Instance>,
    ignored_messages: u64,
}

impl Adapter {
    /// Processes a batch and returns the reply, both as a line of JSON without its line end.
    ///
    /// # Errors
    /// What is wrong with the batch. No batch may be processed after an error.
    pub fn batch(&mut self, line: &str) -> Result<String, BatchError> {
        let batch: Batch = serde_json::from_str(line)?;
        let now = micros(batch.time_ms);
        let mut outboxes: BTreeMap<u64, Outbox> = BTreeMap::new();
        for (part, content) in batch.parts.into_iter().enumerate() {
            let instance = content.instance.unwrap_or(NO_INSTANCE);
            for (event, text) in content.events.into_iter().enumerate() {
                let in_batch = |cause: EventError| BatchError::Event { part, event, cause };
                let Some(event) = Event::read(text.get()).map_err(in_batch)? else { continue };
                let outbox = outboxes.entry(instance).or_default();
                self.handle(now, instance, event, outbox).map_err(in_batch)?;
            }
        }
        outboxes.retain(|_, outbox| !outbox.is_empty());
        Ok(Reply(&outboxes).to_string())
    }

    /// The number of peer messages and probe results received. They are ignored, valid or not.
    pub fn ignored_messages(&self) -> u64 {
        self.ignored_messages
    }

    fn handle(&mut self, now: Micros, id: u64, event: Event, outbox: &mut Outbox) -> Result<(), EventError> {
        match event {
            Event::EndpointList { number, entries } => {
                self.lists.insert(number, entries);
            }
            Event::Start { seed, settings } => match Instance::start(seed, &settings) {
                Ok(instance) => {
                    self.instances.insert(id, instance);
                }
                Err(error) => {
                    self.instances.remove(&id);
                    outbox.push(encode_failed_start(&error));
                }
            },
            Event::Stop => {
                self.instances.remove(&id);
            }
            Event::ProbeResult | Event::PeerMessage => self.ignored_messages += 1,
            event => {
                // There is no instance if it was stopped, or its settings could not be used.
                let Some(instance) = self.instances.get_mut(&id) else { return Ok(()) };
                instance.handle(now, event, &self.lists, outbox)?;
            }
        }
        Ok(())
    }
}
