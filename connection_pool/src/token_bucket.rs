//! Rate limits on opening connections: per host, and for all hosts together.

use basaltwood::types::Micros;

const MICROS_PER_SECOND: f64 = 1e6;

/// How many connections may be opened at once, and how many per second after that.
#[derive(Clone, Copy, Debug)]
struct RateLimit {
    burst: f64,
    per_second: f64,
}

/// For connections to one healthy host: high enough that no burst of requests is delayed.
const HOST: RateLimit = RateLimit { burst: 64.0, per_second: 200.0 };
/// For connections to all hosts together, by one balancer of a small fleet.
const ALL_HOSTS: RateLimit = RateLimit { burst: 256.0, per_second: 800.0 };
/// Up to this number of balancers each has [`ALL_HOSTS`] in full; a larger number divides the total
/// that this number has.
const BALANCERS_WITH_FULL_LIMIT: f64 = 8.0;
/// Connections per second to each host of a large fleet, by all balancers together. The limit for
/// all hosts grows with the number of hosts once this exceeds the share of [`ALL_HOSTS`] (from 200
/// hosts on, where many balancers share it). A healthy host sustains several times as much, see
/// [`RECOVERY`].
const EACH_HOST_PER_SECOND: f64 = 32.0;
/// Lower bound of the limit for all hosts together, however many balancers there are.
const ALL_HOSTS_MIN: RateLimit = RateLimit { burst: 16.0, per_second: 20.0 };
/// For connections to a recovering host, by all balancers together. Doubles with each second
/// without another failure.
const RECOVERY: RateLimit = RateLimit { burst: 64.0, per_second: 100.0 };
/// Lower bound of each balancer's limit for a recovering host, however many balancers there are.
const RECOVERY_MIN: RateLimit = RateLimit { burst: 1.0, per_second: 1.0 };

/// A token bucket: each connection that is opened takes one token. A reduced limit grows back to
/// the full one by itself.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    tokens: f64,
    current: RateLimit,
    /// The limit that a reduced one grows back to.
    full: RateLimit,
    refilled_at: Micros,
}

impl TokenBucket {
    fn new(full: RateLimit) -> TokenBucket {
        TokenBucket { tokens: full.burst, current: full, full, refilled_at: 0 }
    }

    /// Creates the bucket for connections to one host.
    pub fn for_host() -> TokenBucket {
        TokenBucket::new(HOST)
    }

    /// Creates the bucket for connections to all hosts by one of `balancers` balancers.
    pub fn for_all_hosts(balancers: u32) -> TokenBucket {
        TokenBucket::new(rate_limit_for_all_hosts(balancers, 0))
    }

    /// Adapts the limit for all hosts to the numbers of balancers and hosts.
    pub fn set_hosts(&mut self, now: Micros, balancers: u32, hosts: usize) {
        self.refill(now);
        let full = rate_limit_for_all_hosts(balancers, hosts);
        self.tokens += full.burst - self.full.burst;
        (self.full, self.current) = (full, full);
    }

    fn refill(&mut self, now: Micros) {
        let seconds = (now - self.refilled_at).max(0) as f64 / MICROS_PER_SECOND;
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + seconds * self.current.per_second).min(self.current.burst);
        let growth = 2_f64.powf(seconds);
        self.current.per_second = (self.current.per_second * growth).min(self.full.per_second);
        self.current.burst = (self.current.burst * growth).min(self.full.burst);
    }

    /// When the next token becomes available; `now` if one already is.
    pub fn next_token_at(&mut self, now: Micros) -> Micros {
        self.refill(now);
        if self.tokens >= 1.0 {
            return now;
        }
        let wait_seconds = (1.0 - self.tokens) / self.current.per_second;
        now + (wait_seconds * MICROS_PER_SECOND).ceil() as Micros
    }

    /// Takes a token. The bucket may go into debt: the token is then due at the time that
    /// [`TokenBucket::next_token_at`] gave before, and later tokens after it.
    pub fn take(&mut self, now: Micros) {
        self.refill(now);
        self.tokens -= 1.0;
    }

    /// Returns a token that was taken but not used.
    pub fn return_token(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.current.burst);
    }

    /// Reduces the limit after the host lost or refused connections, so that all balancers together
    /// reopen them at a bounded rate.
    pub fn throttle_recovery(&mut self, now: Micros, balancers: u32) {
        self.refill(now);
        let balancers = f64::from(balancers.max(1));
        let burst = (RECOVERY.burst / balancers).max(RECOVERY_MIN.burst);
        let per_second = (RECOVERY.per_second / balancers).max(RECOVERY_MIN.per_second);
        self.current.burst = self.current.burst.min(burst);
        self.current.per_second = self.current.per_second.min(per_second);
        self.tokens = self.tokens.min(self.current.burst);
    }
}

/// The limit on connections from one of `balancers` balancers to all of `hosts` hosts together.
fn rate_limit_for_all_hosts(balancers: u32, hosts: usize) -> RateLimit {
    let balancers = f64::from(balancers.max(1));
    // Balancers that see the same failure all open connections at once, so they divide the total.
    let share = (BALANCERS_WITH_FULL_LIMIT / balancers).min(1.0);
    let rate_for_hosts = EACH_HOST_PER_SECOND * hosts as f64 / balancers;
    let per_second = (ALL_HOSTS.per_second * share).max(rate_for_hosts.min(ALL_HOSTS.per_second));
    let burst = ALL_HOSTS.burst * per_second / ALL_HOSTS.per_second;
    RateLimit { burst: burst.max(ALL_HOSTS_MIN.burst), per_second: per_second.max(ALL_HOSTS_MIN.per_second) }
}
