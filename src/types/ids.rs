//! Numbers that stand for things, and positions on the ring.

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($of:ty)),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
        pub struct $name(pub $of);
    )*};
}

ids! {
    /// One request of a client; never used again.
    RequestId(u32),
    /// A number for a host at one balancer, counted up from 0 in order of first mention.
    HostId(u32),
    /// The attempt of a request, counted from 0 in the order in which they start; each after the
    /// first is a retry.
    AttemptNumber(u32),
    /// Index into [`PolicyConfig::classes`](super::PolicyConfig::classes).
    RequestClassId(u16),
    /// Index into [`PolicyConfig::tenants`](super::PolicyConfig::tenants).
    TenantId(u16),
    /// A failure domain of hosts, such as a hall or a rack.
    ZoneId(u32),
    /// A group of hosts inside which a deduplication may be scoped.
    CellId(u32),
    /// A position on the consistent ring, the same for one text at every balancer.
    RingPosition(u64),
}

impl HostId {
    /// Its number as an index into vectors by host.
    pub fn index(self) -> usize {
        self.0 as usize
    }
}

/// An attempt among those of all requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptKey {
    /// Its request.
    pub request: RequestId,
    /// Its number there.
    pub number: AttemptNumber,
}

impl RingPosition {
    /// The position of a text: FNV-1a, then a mixing step so that texts that differ little lie far
    /// apart.
    pub fn of(text: &str) -> RingPosition {
        let hash = text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
        });
        RingPosition(hash).mixed(0)
    }

    /// Another position, derived from this one and a number (splitmix64).
    pub fn mixed(self, salt: u64) -> RingPosition {
        let mut z = self.0.wrapping_add(salt.wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_add(1);
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        RingPosition(z ^ (z >> 31))
    }
}
