//! Periods and bounds of the membership protocol.

use std::time::Duration;

/// Settings of [`super::Membership`]. The defaults are for 3 to 1,500 nodes.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipSettings {
    /// Time between two probes.
    pub probe_period: Duration,
    /// How long a direct answer may take before others are asked.
    pub probe_timeout: Duration,
    /// How long the whole probe may take before its target is suspected.
    pub probe_deadline: Duration,
    /// How many members are asked to probe a silent one.
    pub indirect_probes: usize,
    /// Time to refute a suspicion among ten members or fewer; it grows with log10 of the members.
    pub suspicion: Duration,
    /// Transmissions of a suspicion, a denial, a death or a leaving by one node, per
    /// log2 of the members. The news of a join is passed on log2 of the members times.
    pub retransmit_factor: u32,
    /// Time between two bursts of gossip while there are changes to pass on.
    pub gossip_period: Duration,
    /// Members that a burst of gossip goes to.
    pub gossip_fanout: usize,
    /// Bytes per second that gossip and accusations may take.
    pub gossip_bytes_per_second: u32,
    /// Bytes that they may take at once after a quiet time.
    pub gossip_burst_bytes: u32,
    /// Bytes per second that pages for members who compare tables may take. Who gets no
    /// page asks again, and then another member.
    pub page_bytes_per_second: u32,
    /// Bytes that they may take at once after a quiet time.
    pub page_burst_bytes: u32,
    /// Share of the probes that go to the own zone, in percent.
    pub own_zone_percent: u32,
    /// Share of the probes that go to other zones of the own region, in percent. The
    /// rest goes to other regions.
    pub own_region_percent: u32,
    /// Time between two probes of dead members, which reveal a healed cut.
    pub dead_probe_period: Duration,
    /// How long dead members are remembered.
    pub dead_memory: Duration,
    /// Time between two greetings of addresses that belong to no known member.
    pub hint_period: Duration,
    /// Time without any datagram after which the node takes itself for cut off and
    /// keeps its verdicts to itself.
    pub isolation: Duration,
    /// Delay of its own timer after which the node takes itself for paused.
    pub pause: Duration,
    /// How long tables may differ while there is still news to pass on; then they are
    /// compared.
    pub sync_patience: Duration,
    /// Shortest time between two comparisons of tables.
    pub sync_interval: Duration,
    /// How long one page of a comparison may take.
    pub sync_timeout: Duration,
    /// Room for updates in a datagram of gossip or a page, in bytes.
    pub update_bytes: usize,
    /// Room for updates in a probe or its answer, in bytes.
    pub probe_update_bytes: usize,
    /// Time between two checks of members that another node takes for dead.
    pub accusation_period: Duration,
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
            dead_memory: Duration::from_secs(3_600),
            hint_period: Duration::from_millis(2_000),
            isolation: Duration::from_millis(2_500),
            pause: Duration::from_millis(700),
            sync_patience: Duration::from_millis(1_500),
            sync_interval: Duration::from_secs(2),
            sync_timeout: Duration::from_millis(700),
            update_bytes: 1_150,
            probe_update_bytes: 400,
            accusation_period: Duration::from_millis(100),
        }
    }
}
