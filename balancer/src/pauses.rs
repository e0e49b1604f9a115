//! How long a peer may pause in the middle of a value. A sound peer may pause for seconds, so it is given
//! up once others need what it holds, and not by the clock alone.

use std::time::Duration;

use tokio::time::Instant;

use crate::budget::ResourceBudget;

/// A pause that is waited for whatever others need.
const GRANTED_PAUSE: Duration = Duration::from_secs(5);
/// A pause after which a peer is given up though nobody needs what it holds: it has vanished.
const MAX_PAUSE: Duration = Duration::from_secs(60);

/// A pause of a peer.
#[derive(Clone, Copy, Debug)]
pub struct Pause {
    began_at: Instant,
}

impl Pause {
    /// A pause that begins now.
    pub fn begin() -> Pause {
        Pause { began_at: Instant::now() }
    }

    /// Whether the peer is to be given up now.
    pub fn is_over(self, budget: &ResourceBudget) -> bool {
        let paused = self.began_at.elapsed();
        paused >= MAX_PAUSE || (paused >= GRANTED_PAUSE && budget.is_scarce())
    }
}
