//! Grants of memory. Each returns its bytes to the budget when it is dropped.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use basaltwood_memory_ledger::{MemoryLedger, MemoryLimits, Pool, Purpose, ValueId};
use tokio::sync::Notify;

/// A value streamed has three pieces in memory: one being read, one in the channel, one being
/// written.
const PIECES_PER_STREAM: usize = 3;
/// The smallest piece of a streamed value, in bytes; room for three is granted at the start.
const MIN_PIECE: usize = 4 * 1024;
/// The largest piece, in bytes.
const MAX_PIECE: usize = 64 * 1024;

/// The memory that may be held.
pub struct MemoryBudget {
    ledger: RefCell<MemoryLedger>,
    streams: Cell<usize>,
    /// The most memory that values of requests could ever have.
    largest_value: Cell<usize>,
    /// Notified when memory is returned and when the limits change.
    pub freed: Notify,
}

/// Granted memory.
pub struct MemoryGrant {
    budget: Rc<MemoryBudget>,
    purpose: Purpose,
    bytes: usize,
}

impl MemoryGrant {
    /// Changes the number of granted bytes; returns whether that is granted. Fewer always are.
    pub fn try_resize(&mut self, bytes: usize) -> bool {
        let budget = &self.budget;
        if bytes > self.bytes {
            let more = bytes - self.bytes;
            if !budget.ledger.borrow_mut().try_hold(self.purpose, more, 0) {
                return false;
            }
        } else if bytes < self.bytes {
            budget.ledger.borrow_mut().release(self.purpose, self.bytes - bytes);
            budget.freed.notify_waiters();
        }
        self.bytes = bytes;
        true
    }

    /// The number of granted bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Divides the grant: takes all but `kept` bytes out of it.
    pub fn split_off(&mut self, kept: usize) -> MemoryGrant {
        let taken = self.bytes.saturating_sub(kept);
        self.bytes -= taken;
        MemoryGrant { budget: self.budget.clone(), purpose: self.purpose, bytes: taken }
    }

    /// The same memory for another purpose of its pool.
    pub fn held_for(mut self, purpose: Purpose) -> MemoryGrant {
        self.budget.ledger.borrow_mut().move_to(self.purpose, purpose, self.bytes);
        self.purpose = purpose;
        self
    }
}

impl Drop for MemoryGrant {
    fn drop(&mut self) {
        self.try_resize(0);
    }
}

/// The memory of a value of a request, from its head until its last attempt has ended.
pub struct ValueGrant {
    budget: Rc<MemoryBudget>,
    id: ValueId,
}

impl ValueGrant {
    /// Whether the value may hold `total` bytes.
    pub fn try_hold(&self, total: usize) -> bool {
        self.budget.ledger.borrow_mut().try_hold_value(self.id, total)
    }
}

impl Drop for ValueGrant {
    fn drop(&mut self) {
        self.budget.ledger.borrow_mut().end_value(self.id);
        self.budget.freed.notify_waiters();
    }
}

/// A value that is being streamed, with room for its smallest pieces.
pub struct StreamGrant {
    budget: Rc<MemoryBudget>,
    _smallest_pieces: MemoryGrant,
}

/// Room for one piece of a streamed value.
pub struct PieceRoom {
    /// The most bytes that the piece may have.
    pub max_bytes: usize,
    /// What the piece needs beyond the smallest one, until it is written.
    pub grant: Option<MemoryGrant>,
}

impl StreamGrant {
    /// Room for the next piece. Pieces become smaller as more values are streamed. Larger pieces
    /// leave half of the memory for streams that begin.
    pub fn piece_room(&self, bytes_left: usize) -> PieceRoom {
        let budget = &self.budget;
        let for_larger_pieces = budget.limits().of(Pool::Streams) / 2;
        let share = for_larger_pieces / budget.streams.get() / PIECES_PER_STREAM;
        let wanted = (MIN_PIECE + share).min(MAX_PIECE).min(bytes_left);
        let grant = match wanted.saturating_sub(MIN_PIECE) {
            0 => None,
            beyond => budget.try_grant(Purpose::Streams, beyond, for_larger_pieces),
        };
        let max_bytes = if grant.is_some() { wanted } else { wanted.min(MIN_PIECE) };
        PieceRoom { max_bytes, grant }
    }
}

impl Drop for StreamGrant {
    fn drop(&mut self) {
        self.budget.streams.set(self.budget.streams.get() - 1);
    }
}

impl MemoryBudget {
    /// Creates a budget within these limits.
    pub fn new(limits: MemoryLimits) -> Rc<MemoryBudget> {
        Rc::new(MemoryBudget {
            ledger: RefCell::new(MemoryLedger::new(limits)),
            streams: Cell::new(0),
            largest_value: Cell::new(limits.of(Pool::RequestValues)),
            freed: Notify::new(),
        })
    }

    /// Changes the limits.
    pub fn set_limits(&self, limits: MemoryLimits) {
        self.largest_value.set(self.largest_value.get().max(limits.of(Pool::RequestValues)));
        self.ledger.borrow_mut().set_limits(limits);
        self.freed.notify_waiters();
    }

    /// Whether replies or streamed values hold more than half of their memory.
    pub fn replies_are_scarce(&self) -> bool {
        let (ledger, limits) = (self.ledger.borrow(), self.limits());
        let is_scarce = |pool: Pool| {
            let purposes = Purpose::EACH.into_iter().filter(|purpose| purpose.pool() == pool);
            let held: usize = purposes.map(|purpose| ledger.held(purpose)).sum();
            held > limits.of(pool) / 2
        };
        is_scarce(Pool::Answers) || is_scarce(Pool::Streams)
    }

    /// The bytes held for a purpose.
    pub fn held(&self, purpose: Purpose) -> usize {
        self.ledger.borrow().held(purpose)
    }

    /// The limits in force.
    pub fn limits(&self) -> MemoryLimits {
        *self.ledger.borrow().limits()
    }

    /// An empty grant, which may be resized.
    pub fn empty_grant(self: &Rc<MemoryBudget>, purpose: Purpose) -> MemoryGrant {
        MemoryGrant { budget: self.clone(), purpose, bytes: 0 }
    }

    /// Grants bytes if `headroom` bytes stay free for others.
    pub fn try_grant(
        self: &Rc<MemoryBudget>,
        purpose: Purpose,
        bytes: usize,
        headroom: usize,
    ) -> Option<MemoryGrant> {
        let is_granted = self.ledger.borrow_mut().try_hold(purpose, bytes, headroom);
        is_granted.then(|| MemoryGrant { budget: self.clone(), purpose, bytes })
    }

    /// Grants room for a response. A response whose client first has to take others leaves half of
    /// the room free: the responses before it must not wait for what it holds.
    pub fn try_grant_response(self: &Rc<MemoryBudget>, bytes: usize, is_next: bool) -> Option<MemoryGrant> {
        let headroom = if is_next { 0 } else { self.limits().of(Pool::Answers) / 2 };
        self.try_grant(Purpose::Responses, bytes, headroom)
    }

    /// Whether a value of this length can ever be read.
    pub fn can_hold_value(&self, length: usize) -> bool {
        length <= self.largest_value.get()
    }

    /// Begins a value of a request, which is granted its memory as it arrives.
    pub fn begin_value(self: &Rc<MemoryBudget>, needed: usize) -> ValueGrant {
        let id = self.ledger.borrow_mut().begin_value(needed);
        ValueGrant { budget: self.clone(), id }
    }

    /// Waits until one more value may be streamed.
    pub async fn start_stream(self: &Rc<MemoryBudget>) -> StreamGrant {
        loop {
            if let Some(grant) = self.try_grant(Purpose::Streams, PIECES_PER_STREAM * MIN_PIECE, 0) {
                self.streams.set(self.streams.get() + 1);
                return StreamGrant { budget: self.clone(), _smallest_pieces: grant };
            }
            self.freed.notified().await;
        }
    }
}
