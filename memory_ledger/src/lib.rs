//! The ledger of the memory that a process holds for its clients: nothing is held before it is
//! granted, and no order of grants and releases exceeds the limits.
//!
//! [`MemoryLimits`] divides the memory limit among [`Pool`]s, [`MemoryLedger`] grants within them.
//! Pure: bytes are only counted here, and who waits for a grant is the caller's business.

mod ledger;
mod limits;
mod purposes;
mod values;

pub use ledger::MemoryLedger;
pub use limits::{Connections, MemoryLimits};
pub use purposes::{Pool, Purpose};
pub use values::{IncomingValues, ValueId};
