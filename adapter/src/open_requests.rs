//! Open requests, by the protocol's names and the policy's ids.

use std::collections::{BTreeMap, HashMap};

use basaltwood::types::RequestId;

use crate::error::EventError;

/// The requests that are unfinished or have attempts in flight. After that a request is forgotten.
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
    /// The attempt whose response has begun. As on sockets, this ends the attempt for the policy,
    /// while the response streams to the client.
    streaming_attempt: Option<u32>,
}

impl OpenRequests {
    /// Adds a new request and returns its id.
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

    /// The protocol's name of a request, which must be open.
    pub fn name(&self, id: RequestId) -> &str {
        &self.requests[&id].name
    }

    /// Records that the policy started an attempt.
    pub fn attempt_started(&mut self, id: RequestId) {
        self.update(id, |request| request.attempts_in_flight += 1);
    }

    /// Records that an attempt ended for the policy, and the request too if `finished`.
    pub fn attempt_ended(&mut self, id: RequestId, finished: bool) {
        self.update(id, |request| {
            request.attempts_in_flight = request.attempts_in_flight.saturating_sub(1);
            request.finished |= finished;
        });
    }

    /// Records that the request has its final response, or that its client is gone.
    pub fn finished(&mut self, id: RequestId) {
        self.update(id, |request| request.finished = true);
    }

    /// Records that the response of an attempt has begun. The attempt ends twice: now for the
    /// policy, and for the simulator once the response is complete.
    pub fn response_began(&mut self, id: RequestId, attempt: u32) {
        self.update(id, |request| {
            request.streaming_attempt = Some(attempt);
            request.attempts_in_flight += 1;
        });
    }

    /// Records that an attempt ended for the simulator, and returns whether it had already ended
    /// for the policy.
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
