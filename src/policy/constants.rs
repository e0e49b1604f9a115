//! The constants of the policy. Durations are in `Micros`, concurrency limits in attempts in
//! flight; a share is a fraction of 1.

use crate::types::Micros;

// The ring and hot keys.

/// Ring points of a host of mean weight: arcs are within about an eighth of their mean.
pub const RING_POINTS_PER_HOST: f64 = 64.0;
/// A host is overloaded above this multiple (alpha) of the mean load of the hosts in use.
pub const OVERLOAD_RATIO: f64 = 1.5;
/// A key is hot at this share (beta) of the load of its overloaded home.
pub const HOT_KEY_LOAD_SHARE: f64 = 0.1;
/// A host counts as overloaded once it has been above `OVERLOAD_RATIO` for this time.
pub const OVERLOADED_AFTER: Micros = 2_000_000;
/// The half-life of the load counts: after 2 s about a third of a send is left.
pub const LOAD_HALF_LIFE: Micros = 1_400_000;
/// The load counts are not halved before this many sends per host: a quiet balancer rarely meets
/// the same key.
pub const MIN_SENDS_PER_HALF_LIFE: f64 = 2.0;
/// Fewer counted sends of a key are chance repeats at a quiet balancer.
pub const MIN_HOT_KEY_SENDS: f64 = 2.0;
/// The size of the table of load counts by key, and of the table of failing keys.
pub const MAX_TRACKED_KEYS: usize = 2_048;
/// The fewest holders of a hot key. A key whose load is more than this many times the mean load of
/// a host gets one holder for each full mean load.
pub const MIN_HOT_KEY_HOLDERS: u64 = 3;

// Bounds on the cost of a decision, independent of the size of the fleet.

/// The most hosts that one selection assesses. If fewer than 1 host in 100 is usable, the selection
/// may assess none of these.
pub const MAX_HOSTS_ASSESSED: usize = 256;
/// Ring points visited for the holders of a hot key: the whole ring of 256 hosts.
pub const MAX_POINTS_FOR_HOLDERS: u64 = 64 * 256;

// Load shedding when the process is late.

/// New requests are rejected from this lag of the event loop on.
pub const OVERLOAD_LAG: Micros = 200_000;
/// Overdue requests are answered this long after their deadlines; normally their attempts end at
/// the deadline by themselves.
pub const OVERDUE_GRACE: Micros = 50_000;

// Host health. Evidence is measured in typical latencies.

/// The time between two sweeps over the hosts.
pub const SWEEP_INTERVAL: Micros = 50_000;
/// A host is suspected above this evidence.
pub const SUSPECT_EVIDENCE: f64 = 5.0;
/// The evidence of a lost connection or an unanswered attempt.
pub const FAILURE_EVIDENCE: f64 = 3.0;
/// The evidence of an unanswered attempt that was the only one in flight at its host.
pub const ONLY_ATTEMPT_EVIDENCE: f64 = 2.0 * FAILURE_EVIDENCE;
/// The evidence of an error.
pub const ERROR_EVIDENCE: f64 = FAILURE_EVIDENCE / 2.0;
/// The evidence of a rejection by the host.
pub const REJECTION_EVIDENCE: f64 = FAILURE_EVIDENCE / 3.0;
/// The most overdue attempts that count as evidence: one slow request must not count for many.
pub const MAX_OVERDUE_ATTEMPTS: usize = 3;
/// An ejection does not end by itself before this time, which is enough for a restart. A value or a
/// miss from the host ends the ejection at once.
pub const MIN_EJECTION_TIME: Micros = 2_000_000;
/// Lost hosts that make their zone unreachable: fewer may be a coincidence of single bad hosts.
pub const MIN_LOST_HOSTS: usize = 3;
/// The time between two evaluations of concurrency limits and key shares.
pub const EVALUATION_INTERVAL: Micros = 250_000;
/// A host keeps all its keys up to this multiple of the fleet's median latency.
pub const FULL_SHARE_LATENCY_RATIO: f64 = 1.2;
/// The part of the distance to its target that a key share moves at each evaluation: larger steps
/// make load swing from host to host.
pub const KEY_SHARE_GAIN: f64 = 0.06;
/// The share of its own keys that a slow host keeps, so that its recovery is seen.
pub const MIN_KEY_SHARE: f64 = 0.05;

// Concurrency limits.

/// The multiple of the minimum latency, or of a quarter of the objective, that is tolerated before
/// a limit decreases.
pub const LATENCY_TOLERANCE: f64 = 1.3;
/// The growth factor of the minimum latency at each evaluation, so that an old minimum fades.
pub const MIN_LATENCY_DRIFT: f64 = 1.005;
/// The multiple of a quarter of the shortest objective that is tolerated at an origin: a slow
/// origin still serves.
pub const ORIGIN_LATENCY_FACTOR: f64 = 3.0;
/// The number of requests over which the current latency objective is smoothed.
pub const OBJECTIVE_REQUESTS: f64 = 64.0;
/// The answers needed for a measurement.
pub const MIN_SAMPLES: f64 = 4.0;
/// The most answers that a single one stands for after a long gap.
pub const MAX_SAMPLE_WEIGHT: f64 = 8.0;
/// The factor of a limit at each attempt that timed out.
pub const TIMEOUT_DECREASE: f64 = 0.85;
/// The factor of a limit at each attempt that the host rejected.
pub const REJECTION_DECREASE: f64 = 0.5;
/// The growth of a limit at each evaluation with answers, over all balancers together.
pub const LIMIT_GROWTH: f64 = 2.0;
/// The share of a limit that a class of priority weight 0 may fill.
pub const BASE_LIMIT_SHARE: f64 = 0.6;
/// The additional share of the class of the highest weight; other classes get less by their weight.
pub const PRIORITY_LIMIT_SHARE: f64 = 0.4;
/// The share of the origin's limit that writes may fill.
pub const ORIGIN_WRITE_SHARE: f64 = 2.0;
/// The minimum limit of a host over all balancers: `ConcurrencyLimit::decrease` multiplies it by
/// this balancer's share of the growth.
pub const MIN_LIMIT: f64 = 0.3;
/// The limit of a host that is new to this balancer.
pub const INITIAL_LIMIT: f64 = 6.0;
/// The maximum limit of a host and of the fleet; the fleet starts with it.
pub const MAX_LIMIT: f64 = 256.0;

// Slow start of a host that is warming up.

/// At most this fraction of its overload limit is sent to a host that is warming up: homes differ
/// in load.
pub const WARM_UP_MARGIN: f64 = 0.6;
/// The fraction of the deviation of a host's load that is granted on top: traffic varies by itself
/// as well.
pub const WARM_UP_DEVIATION: f64 = 0.5;
/// The assumed minimum of sends to a host per window: a balancer with fewer can't measure them.
pub const MIN_SENDS_PER_WINDOW: f64 = 0.05;
/// A single key with this share of all reads must not overload the host.
pub const WARM_UP_KEY_SHARE: f64 = 0.1;

// Retries.

/// The maximum stall between reading the clock and writing. Source: the operators' requirements.
pub const MAX_PROCESS_STALL: Micros = 150_000;
/// The retries of the class of the highest weight beyond the one that each class has; other classes
/// get fewer by their weight.
pub const PRIORITY_RETRIES: f64 = 2.0;
/// The hosts past a full one that a request may try for capacity.
pub const MAX_SPILLS: usize = 1;
/// The most selections for one attempt if the selected hosts are not admitted.
pub const MAX_SELECTIONS: usize = 3;
/// The retries or spills that a successful request earns.
pub const RETRIES_PER_SUCCESS: f64 = 0.2;
/// `RETRIES_PER_SUCCESS` without cache-aside, where each retry may cause one more origin fetch.
pub const READ_THROUGH_RETRIES_PER_SUCCESS: f64 = 0.02;
/// The maximum of a retry budget, and its initial value.
pub const MAX_RETRY_BUDGET: f64 = 20.0;

// Discovery calls.

/// The base of the pause between failed calls; it doubles with each failure and is jittered.
pub const WATCH_BACKOFF: Micros = 200_000;
/// The most doublings of the pause: at most 1.6 to 3.2 s between calls.
pub const MAX_WATCH_DOUBLINGS: u32 = 4;
