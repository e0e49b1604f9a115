//! When a request may begin that came behind others on its client's connection (rule 1).
//!
//! Replies are written in the order of the commands. If a long value breaks off while it is passed on,
//! nothing can be written behind it: the connection ends, and the requests behind it get no answer. So a
//! request whose effect must not go untold begins once no reply before it can break off, and no request
//! begins behind a value that is being passed on.

use crate::types::RetrySafety;

/// What is known of a reply that is written before another one, from the best to the worst.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum EarlierReply {
    /// It is whole in memory, or will be before its first byte is written.
    #[default]
    Whole,
    /// It may turn out to be a long value that is passed on as it comes.
    MayBeStreamed,
    /// It is a long value that is being passed on.
    Streamed,
}

/// Whether the client of a request has to be told how it ended: a read that is harmless to repeat has no
/// effect that could go untold.
pub fn must_be_told(is_write: bool, safety: RetrySafety) -> bool {
    is_write || safety != RetrySafety::Idempotent
}

/// Whether a request may begin behind the worst of the replies before it. One that need not be told of does
/// not wait until it is known that no long value comes before it: clients that pipeline reads would
/// wait for one after the other.
pub fn may_begin_behind(earlier: EarlierReply, must_be_told: bool) -> bool {
    match earlier {
        EarlierReply::Whole => true,
        EarlierReply::MayBeStreamed => !must_be_told,
        EarlierReply::Streamed => false,
    }
}
