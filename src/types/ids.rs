//! Numeric identifiers, and positions on the ring.

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($of:ty)),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
        pub struct $name(pub $of);
    )*};
}

ids! {
    /// A client's request; a number is reused only after 2^32 requests.
    RequestId(u32),
    /// A host at one balancer, numbered from 0 in the order in which hosts are first listed; the
    /// number of a released host may be reused.
    HostId(u32),
    /// An attempt of a request, numbered from 0 in the order in which the attempts start; each
    /// attempt after the first is a retry.
    AttemptNumber(u32),
    /// Index into [`PolicyConfig::classes`](super::PolicyConfig::classes).
    RequestClassId(u16),
    /// Index into [`PolicyConfig::tenants`](super::PolicyConfig::tenants).
    TenantId(u16),
    /// A failure domain of hosts, such as a hall or a rack.
    ZoneId(u32),
    /// A group of hosts that may share a deduplication table.
    CellId(u32),
    /// A position on the consistent-hash ring; a text has the same position at every balancer.
    RingPosition(u64),
}

impl HostId {
    /// The number as an index into vectors that are ordered by host.
    pub fn index(self) -> usize {
        self.0 as usize
    }
}

/// Identifies an attempt among those of all requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptKey {
    /// The request.
    pub request: RequestId,
    /// The number of the attempt within the request.
    pub number: AttemptNumber,
}

impl RingPosition {
    /// The position of a text: FNV-1a, then a mixing step that puts similar texts far apart.
    pub fn of(text: &str) -> RingPosition {
        let hash = text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
        });
        RingPosition(hash).mixed(0)
    }

    /// Another position, derived from this one and a salt (splitmix64).
    pub fn mixed(self, salt: u64) -> RingPosition {
        let mut z = self.0.wrapping_add(salt.wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_add(1);
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        RingPosition(z ^ (z >> 31))
    }
}
