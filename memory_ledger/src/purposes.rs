//! What memory is held for, and which purposes share a limit.

/// Memory with a limit of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pool {
    /// Commands of clients, without their longer values.
    Commands,
    /// Longer values of requests.
    RequestValues,
    /// Answers, from the host's response on.
    Answers,
    /// Long values on their way to a client.
    Streams,
}

impl Pool {
    /// All pools.
    pub const EACH: [Pool; 4] = [Pool::Commands, Pool::RequestValues, Pool::Answers, Pool::Streams];
}

/// What memory is held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Input buffers past their first bytes.
    Input,
    /// Commands with their short answers, beyond the first command of each client.
    Commands,
    /// Values of requests that are being read or wait for their answer.
    RequestValues,
    /// Responses that are being read.
    Responses,
    /// Answers until their clients have taken them.
    Replies,
    /// Pieces of long values on their way to a client.
    Streams,
}

impl Purpose {
    /// All purposes.
    pub const EACH: [Purpose; 6] = [
        Purpose::Input,
        Purpose::Commands,
        Purpose::RequestValues,
        Purpose::Responses,
        Purpose::Replies,
        Purpose::Streams,
    ];

    /// The pool that the purpose's memory comes from.
    pub fn pool(self) -> Pool {
        match self {
            Purpose::Input | Purpose::Commands => Pool::Commands,
            Purpose::RequestValues => Pool::RequestValues,
            Purpose::Responses | Purpose::Replies => Pool::Answers,
            Purpose::Streams => Pool::Streams,
        }
    }

    /// The purpose's name in the metrics and the log.
    pub fn name(self) -> &'static str {
        match self {
            Purpose::Input => "input",
            Purpose::Commands => "commands",
            Purpose::RequestValues => "request_values",
            Purpose::Responses => "responses",
            Purpose::Replies => "replies",
            Purpose::Streams => "streams",
        }
    }
}
