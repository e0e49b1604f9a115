//! Compares the bytes written of a reply with those that its first line announced: a client finds the next
//! reply by that length.

use std::fmt;

use basaltwood_wire::resp;

/// The bytes of one reply.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplyAudit {
    /// The length of the reply by its first line, once that is written.
    announced: Option<usize>,
    written: usize,
}

impl ReplyAudit {
    /// Records that the first `count` bytes of `text` were written.
    pub fn written(&mut self, text: &[u8], count: usize) {
        if self.written == 0 {
            self.announced = resp::announced_length(text);
        }
        self.written += count;
    }

    /// Whether as many bytes were written as announced.
    pub fn is_as_announced(&self) -> bool {
        self.announced == Some(self.written)
    }
}

impl fmt::Display for ReplyAudit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let announced = self.announced.map_or("no length".to_owned(), |bytes| format!("{bytes} bytes"));
        write!(f, "a reply announced {announced} and ended after {} bytes", self.written)
    }
}
