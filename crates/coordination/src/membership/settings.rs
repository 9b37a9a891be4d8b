//! Periods and bounds of the membership protocol.

use std::time::Duration;

/// Settings of [`super::Membership`]. The defaults are for 3 to 1,500 nodes.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipSettings {
    /// Time between two probes.
    pub probe_period: Duration,
    /// How long to wait for a direct answer before other members are asked to probe the
    /// target.
    pub probe_timeout: Duration,
    /// How long the whole probe, including indirect ones, may take before its target is
    /// suspected.
    pub probe_deadline: Duration,
    /// Number of members asked to probe an unresponsive one.
    pub indirect_probes: usize,
    /// Timeout of a suspicion with ten members or fewer; it grows with log10 of the
    /// number of members.
    pub suspicion: Duration,
    /// Number of times that one node transmits a suspicion, refutation, death or
    /// departure, as a multiple of log2 of the number of members. A join is transmitted
    /// log2 of the number of members times.
    pub retransmit_factor: u32,
    /// Time between two bursts of gossip while changes are queued.
    pub gossip_period: Duration,
    /// Number of members that a burst of gossip is sent to.
    pub gossip_fanout: usize,
    /// Bandwidth limit of gossip, in bytes per second.
    pub gossip_bytes_per_second: u32,
    /// Burst limit of gossip, in bytes.
    pub gossip_burst_bytes: u32,
    /// Bandwidth limit of pages sent to members that compare tables, in bytes per
    /// second. A member that gets no page repeats its request, and then chooses another
    /// member.
    pub page_bytes_per_second: u32,
    /// Burst limit of pages, in bytes.
    pub page_burst_bytes: u32,
    /// Percentage of probes sent to members of the node's own zone.
    pub own_zone_percent: u32,
    /// Percentage of probes sent to members of other zones of the node's own region. The
    /// rest is sent to other regions.
    pub own_region_percent: u32,
    /// Time between two probes of dead members, which detect a healed partition.
    pub dead_probe_period: Duration,
    /// How long dead members are kept in the table.
    pub dead_retention: Duration,
    /// Time between two `Hello`s to addresses that belong to no known member.
    pub hint_period: Duration,
    /// Time without any received datagram after which the node considers itself isolated
    /// and does not send its own death verdicts to other nodes.
    pub isolation_timeout: Duration,
    /// Delay of the node's own timer after which it considers itself to have been
    /// paused.
    pub pause_threshold: Duration,
    /// How long tables may differ while changes are still queued, before they are
    /// compared.
    pub sync_delay: Duration,
    /// Minimum time between two comparisons of tables.
    pub sync_interval: Duration,
    /// How long to wait for one page of a comparison.
    pub sync_timeout: Duration,
    /// Maximum size of the updates in a datagram of gossip or a page, in bytes.
    pub update_bytes: usize,
    /// Maximum size of the updates in a probe or its answer, in bytes.
    pub probe_update_bytes: usize,
    /// Time between two checks of members that another node considers dead.
    pub check_period: Duration,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            probe_period: Duration::from_millis(1_000),
            probe_timeout: Duration::from_millis(300),
            probe_deadline: Duration::from_millis(900),
            indirect_probes: 3,
            suspicion: Duration::from_millis(2_000),
            retransmit_factor: 3,
            gossip_period: Duration::from_millis(250),
            gossip_fanout: 3,
            gossip_bytes_per_second: 2_500,
            gossip_burst_bytes: 12_000,
            page_bytes_per_second: 150_000,
            page_burst_bytes: 300_000,
            own_zone_percent: 70,
            own_region_percent: 20,
            dead_probe_period: Duration::from_millis(3_000),
            dead_retention: Duration::from_secs(3_600),
            hint_period: Duration::from_millis(2_000),
            isolation_timeout: Duration::from_millis(2_500),
            pause_threshold: Duration::from_millis(700),
            sync_delay: Duration::from_millis(1_500),
            sync_interval: Duration::from_secs(2),
            sync_timeout: Duration::from_millis(700),
            update_bytes: 1_150,
            probe_update_bytes: 400,
            check_period: Duration::from_millis(100),
        }
    }
}
