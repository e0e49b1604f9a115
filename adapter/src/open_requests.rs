//! The requests that are open or have attempts in flight, by the wire's names and the policy's ids.

use std::collections::{BTreeMap, HashMap};

use basaltwood::types::RequestId;

use crate::error::EventError;

/// The requests that are open or have attempts in flight. Each is forgotten under both names after
/// that.
#[derive(Default)]
pub struct OpenRequests {
    ids: HashMap<String, RequestId>,
    requests: BTreeMap<RequestId, OpenRequest>,
    next_id: u32,
}

struct OpenRequest {
    name: String,
    attempts_in_flight: u32,
    finished: bool,
    /// The attempt whose answer has begun: as on sockets that ends it for the policy, and the
    /// client gets the rest.
    streaming_attempt: Option<u32>,
}

impl OpenRequests {
    /// The id of a new request.
    pub fn open(&mut self, name: String) -> RequestId {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        self.ids.insert(name.clone(), id);
        let request = OpenRequest { name, attempts_in_flight: 0, finished: false, streaming_attempt: None };
        self.requests.insert(id, request);
        id
    }

    /// The id of a request that is open.
    pub fn id(&self, name: &str) -> Result<RequestId, EventError> {
        self.ids.get(name).copied().ok_or_else(|| EventError::UnknownRequest(name.to_owned()))
    }

    /// The wire's name of a request, which must be open.
    pub fn name(&self, id: RequestId) -> &str {
        &self.requests[&id].name
    }

    /// The policy started an attempt.
    pub fn attempt_started(&mut self, id: RequestId) {
        self.update(id, |request| request.attempts_in_flight += 1);
    }

    /// An attempt ended for the policy, and perhaps the request with it.
    pub fn attempt_ended(&mut self, id: RequestId, finished: bool) {
        self.update(id, |request| {
            request.attempts_in_flight = request.attempts_in_flight.saturating_sub(1);
            request.finished |= finished;
        });
    }

    /// The request has its final answer, or its client is gone.
    pub fn finished(&mut self, id: RequestId) {
        self.update(id, |request| request.finished = true);
    }

    /// The answer of an attempt has begun. The attempt will end twice: now for the policy, and for
    /// the wire once the answer is complete.
    pub fn answer_began(&mut self, id: RequestId, attempt: u32) {
        self.update(id, |request| {
            request.streaming_attempt = Some(attempt);
            request.attempts_in_flight += 1;
        });
    }

    /// Whether an attempt that ends for the wire has ended for the policy before.
    pub fn end_streaming(&mut self, id: RequestId, attempt: u32) -> bool {
        let streaming = self.requests[&id].streaming_attempt == Some(attempt);
        if streaming {
            self.update(id, |request| request.attempts_in_flight -= 1);
        }
        streaming
    }

    /// Changes a request, and forgets it once it is finished and has no attempt in flight.
    fn update(&mut self, id: RequestId, change: impl FnOnce(&mut OpenRequest)) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        change(request);
        if request.finished && request.attempts_in_flight == 0 {
            self.ids.remove(&request.name);
            self.requests.remove(&id);
        }
    }
}
