//! Schedule of status queries to databases.

use std::collections::BTreeMap;
use std::time::Duration;

use hookpoint_state::{DatabaseName, GroupName, Timestamp};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::terms::{DatabaseView, GroupView};

/// Jitter of every pause, in percent in either direction.
const JITTER_PERCENT: u64 = 25;

/// Intervals between two status queries to one database, and the conditions for the fast
/// interval.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbePace {
    /// Interval for a replica of a group in normal operation.
    pub replica: Duration,
    /// Interval for the primary of a group in normal operation.
    pub primary: Duration,
    /// Interval for every database of a group whose primary is unknown or unreachable,
    /// or that lost a connection recently.
    pub fast: Duration,
    /// Interval that replaces [`ProbePace::fast`] once fast probing has lasted for
    /// longer than [`ProbePace::fast_limit`].
    pub slowed: Duration,
    /// How long a lost connection causes fast probing of its group.
    pub after_lost_connection: Duration,
    /// How long a group is probed at the fast interval before the interval is
    /// lengthened.
    pub fast_limit: Duration,
    /// A primary that has not answered a probe for this long counts as unreachable here.
    pub unreachable_after: Duration,
}

impl Default for ProbePace {
    fn default() -> Self {
        Self {
            replica: Duration::from_secs(1),
            primary: Duration::from_millis(300),
            fast: Duration::from_millis(50),
            slowed: Duration::from_millis(250),
            after_lost_connection: Duration::from_secs(2),
            fast_limit: Duration::from_secs(15),
            unreachable_after: Duration::from_millis(150),
        }
    }
}

/// A database to observe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedDatabase {
    /// Group of the database.
    pub group: GroupName,
    /// Name of the database.
    pub database: DatabaseName,
    /// Whether this node is the home of the database. Databases of other homes are
    /// probed, through their homes, only while their group is probed fast, which the
    /// homes may not know of, or while this node considers them unreachable, which only
    /// its own probe can correct.
    pub home: bool,
}

/// Input of the schedule, sent by the driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ObserverEvent {
    /// The databases to observe. Replaces the previous set; the state of databases that
    /// are no longer in it is dropped.
    Configured(Vec<ObservedDatabase>),
    /// A status query was answered or abandoned.
    Probed(DatabaseName),
    /// A connection to the database was lost.
    ConnectionLost(DatabaseName),
    /// Time has passed or a view has changed.
    Timer,
}

/// Output of the schedule, to be carried out by the driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ObserverAction {
    /// Send a status query to this database and report its end with
    /// [`ObserverEvent::Probed`].
    Probe {
        /// Group of the database.
        group: GroupName,
        /// Database to query.
        database: DatabaseName,
        /// Whether this node is the home of the database.
        home: bool,
    },
}

#[derive(Clone, Debug)]
struct Observed {
    group: GroupName,
    home: bool,
    probed_at: Option<Timestamp>,
    in_flight: bool,
    jitter_percent: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Urgency {
    fast_until: Timestamp,
    fast_since: Option<Timestamp>,
}

/// Decides when each database is probed. At most one status query per database is in
/// flight.
#[derive(Clone, Debug)]
pub struct ProbeSchedule {
    pace: ProbePace,
    databases: BTreeMap<DatabaseName, Observed>,
    urgencies: BTreeMap<GroupName, Urgency>,
    generator: ChaCha8Rng,
}

impl ProbeSchedule {
    /// Creates a schedule without databases, whose jitter is drawn from `seed`.
    pub fn new(pace: ProbePace, seed: u64) -> Self {
        Self {
            pace,
            databases: BTreeMap::new(),
            urgencies: BTreeMap::new(),
            generator: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Processes an event and appends the probes that are due to `actions`. `view`
    /// returns the observed state of a group. Returns when the next timer event is due.
    pub fn handle(
        &mut self,
        now: Timestamp,
        event: ObserverEvent,
        view: impl Fn(&GroupName) -> Option<GroupView>,
        actions: &mut Vec<ObserverAction>,
    ) -> Option<Timestamp> {
        match event {
            ObserverEvent::Configured(databases) => self.configure(databases),
            ObserverEvent::Probed(database) => {
                if let Some(observed) = self.databases.get_mut(&database) {
                    observed.in_flight = false;
                }
            }
            ObserverEvent::ConnectionLost(database) => self.connection_lost(now, &database),
            ObserverEvent::Timer => {}
        }
        let groups: Vec<GroupName> = self.urgencies.keys().cloned().collect();
        groups
            .iter()
            .filter_map(|group| self.probe_group(now, group, view(group).as_ref(), actions))
            .min()
    }

    fn configure(&mut self, databases: Vec<ObservedDatabase>) {
        let mut known = std::mem::take(&mut self.databases);
        let mut urgencies = std::mem::take(&mut self.urgencies);
        for ObservedDatabase {
            group,
            database,
            home,
        } in databases
        {
            let urgency = urgencies.remove(&group).unwrap_or_default();
            self.urgencies.entry(group.clone()).or_insert(urgency);
            let mut observed = known.remove(&database).unwrap_or(Observed {
                group,
                home,
                probed_at: None,
                in_flight: false,
                jitter_percent: 100,
            });
            observed.home = home;
            self.databases.insert(database, observed);
        }
    }

    fn connection_lost(&mut self, now: Timestamp, database: &DatabaseName) {
        let observed = self.databases.get(database);
        if let Some(urgency) = observed.and_then(|observed| self.urgencies.get_mut(&observed.group))
        {
            urgency.fast_until = now + self.pace.after_lost_connection;
        }
    }

    /// Probes the databases that are due in one group and returns when the next one is
    /// due.
    fn probe_group(
        &mut self,
        now: Timestamp,
        group: &GroupName,
        view: Option<&GroupView>,
        actions: &mut Vec<ObserverAction>,
    ) -> Option<Timestamp> {
        let primary = view.and_then(GroupView::primary);
        let unresponsive_at = self.unresponsive_at(primary);
        let fast = self.update_urgency(now, group, primary, unresponsive_at);
        let mut next = unresponsive_at.filter(|at| *at > now);
        for (name, observed) in &mut self.databases {
            let known = view.and_then(|view| view.databases.iter().find(|d| &d.name == name));
            let unreachable = known.is_some_and(|known| !known.reachable);
            let eligible = observed.home || unreachable || fast.is_some();
            if &observed.group != group || observed.in_flight || !eligible {
                continue;
            }
            let interval = match fast {
                Some(interval) => interval,
                None if primary.is_some_and(|primary| &primary.name == name) => self.pace.primary,
                None => self.pace.replica,
            };
            let due = observed.due(known, interval);
            if due > now {
                next = Some(next.map_or(due, |at| at.min(due)));
                continue;
            }
            observed.probed_at = Some(now);
            observed.in_flight = true;
            observed.jitter_percent = self
                .generator
                .random_range(100 - JITTER_PERCENT..=100 + JITTER_PERCENT);
            actions.push(ObserverAction::Probe {
                group: group.clone(),
                database: name.clone(),
                home: observed.home,
            });
        }
        next
    }

    /// Returns when the primary counts as unreachable unless it answers the probe in
    /// flight; `None` if no probe is in flight.
    fn unresponsive_at(&self, primary: Option<&DatabaseView>) -> Option<Timestamp> {
        let observed = self.databases.get(&primary?.name)?;
        let probed_at = observed.probed_at.filter(|_| observed.in_flight)?;
        Some(probed_at + self.pace.unreachable_after)
    }

    /// Updates whether the group is probed fast. Returns the interval for fast probing;
    /// `None` in normal operation.
    fn update_urgency(
        &mut self,
        now: Timestamp,
        group: &GroupName,
        primary: Option<&DatabaseView>,
        unresponsive_at: Option<Timestamp>,
    ) -> Option<Duration> {
        let urgency = self.urgencies.get_mut(group)?;
        let no_reachable_primary = !primary.is_some_and(|primary| primary.reachable);
        let unresponsive = unresponsive_at.is_some_and(|at| at <= now);
        if !(no_reachable_primary || unresponsive || now < urgency.fast_until) {
            urgency.fast_since = None;
            return None;
        }
        let since = *urgency.fast_since.get_or_insert(now);
        let limit_passed = now.since(since) > self.pace.fast_limit;
        Some(if limit_passed {
            self.pace.slowed
        } else {
            self.pace.fast
        })
    }
}

impl Observed {
    /// Returns when the next probe is due: one interval after the last probe or the last
    /// status obtained from traffic, whichever is later.
    fn due(&self, known: Option<&DatabaseView>, interval: Duration) -> Timestamp {
        let Some(probed_at) = self.probed_at else {
            return Timestamp::default();
        };
        let seen = known.filter(|known| known.reachable);
        let last = seen.map_or(probed_at, |known| known.observed_at.max(probed_at));
        let percent = u32::try_from(self.jitter_percent).unwrap_or(100);
        last + interval * percent / 100
    }
}
