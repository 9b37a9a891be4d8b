//! Which database is due for a status query.

use std::collections::BTreeMap;
use std::time::Duration;

use hookpoint_state::{DatabaseName, GroupName, Timestamp};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::terms::{DatabaseView, GroupView};

/// Jitter of every pause, in percent to either side.
const JITTER_PERCENT: u64 = 25;

/// Pauses between two status queries to one database.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbePace {
    /// To a replica in quiet times.
    pub replica: Duration,
    /// To the primary in quiet times.
    pub primary: Duration,
    /// To every database of a group whose primary is not known or not reachable, or
    /// that a connection was lost to a moment ago.
    pub hurried: Duration,
    /// The same, once that has lasted for longer than [`ProbePace::hurry`].
    pub weary: Duration,
    /// How long a lost connection keeps its group in a hurry.
    pub alarm: Duration,
    /// How long a group is probed at the hurried pace.
    pub hurry: Duration,
    /// A primary that has not answered for this long counts as unreachable here.
    pub patience: Duration,
}

impl Default for ProbePace {
    fn default() -> Self {
        Self {
            replica: Duration::from_secs(1),
            primary: Duration::from_millis(300),
            hurried: Duration::from_millis(50),
            weary: Duration::from_millis(250),
            alarm: Duration::from_secs(2),
            hurry: Duration::from_secs(15),
            patience: Duration::from_millis(150),
        }
    }
}

/// A database to observe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedDatabase {
    /// Its group.
    pub group: GroupName,
    /// The database.
    pub database: DatabaseName,
    /// Whether this node is its home. Others are probed, through their homes, only
    /// while their group is in a hurry, which their homes may not know of, or while this
    /// node takes them for unreachable, which nobody else could correct.
    pub home: bool,
}

/// What the driver tells the schedule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ObserverEvent {
    /// The databases to observe. What was known of others is forgotten.
    Configured(Vec<ObservedDatabase>),
    /// A status query was answered or given up.
    Probed(DatabaseName),
    /// A connection to the database was lost.
    ConnectionLost(DatabaseName),
    /// Time has passed or a view has changed.
    Timer,
}

/// What the driver is asked to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ObserverAction {
    /// Send a status query to this database and report with
    /// [`ObserverEvent::Probed`].
    Probe {
        /// Its group.
        group: GroupName,
        /// The database.
        database: DatabaseName,
        /// Whether this node is its home.
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
struct Mood {
    alarm_until: Timestamp,
    hurried_since: Option<Timestamp>,
}

/// Decides which database is probed when. At most one status query a database is in
/// flight.
#[derive(Clone, Debug)]
pub struct ProbeSchedule {
    pace: ProbePace,
    databases: BTreeMap<DatabaseName, Observed>,
    moods: BTreeMap<GroupName, Mood>,
    generator: ChaCha8Rng,
}

impl ProbeSchedule {
    /// A schedule of nothing; jitter is drawn from `seed`.
    pub fn new(pace: ProbePace, seed: u64) -> Self {
        Self {
            pace,
            databases: BTreeMap::new(),
            moods: BTreeMap::new(),
            generator: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Takes an event and appends the probes that are due to `actions`. `view` gives
    /// what is known of a group. Returns when the next timer event is due.
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
            ObserverEvent::ConnectionLost(database) => self.alarm(now, &database),
            ObserverEvent::Timer => {}
        }
        let groups: Vec<GroupName> = self.moods.keys().cloned().collect();
        groups
            .iter()
            .filter_map(|group| self.probe_group(now, group, view(group).as_ref(), actions))
            .min()
    }

    fn configure(&mut self, databases: Vec<ObservedDatabase>) {
        let mut known = std::mem::take(&mut self.databases);
        let mut moods = std::mem::take(&mut self.moods);
        for ObservedDatabase {
            group,
            database,
            home,
        } in databases
        {
            let mood = moods.remove(&group).unwrap_or_default();
            self.moods.entry(group.clone()).or_insert(mood);
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

    fn alarm(&mut self, now: Timestamp, database: &DatabaseName) {
        let observed = self.databases.get(database);
        if let Some(mood) = observed.and_then(|observed| self.moods.get_mut(&observed.group)) {
            mood.alarm_until = now + self.pace.alarm;
        }
    }

    /// Probes what is due in one group and returns when the next one is.
    fn probe_group(
        &mut self,
        now: Timestamp,
        group: &GroupName,
        view: Option<&GroupView>,
        actions: &mut Vec<ObserverAction>,
    ) -> Option<Timestamp> {
        let primary = view.and_then(GroupView::primary);
        let suspicion = self.suspicion(primary);
        let hurried = self.update_mood(now, group, primary, suspicion);
        let mut next = suspicion.filter(|at| *at > now);
        for (name, observed) in &mut self.databases {
            let known = view.and_then(|view| view.databases.iter().find(|d| &d.name == name));
            let doubted = known.is_some_and(|known| !known.reachable);
            let asked = observed.home || doubted || hurried.is_some();
            if &observed.group != group || observed.in_flight || !asked {
                continue;
            }
            let interval = match hurried {
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

    /// From when on a silent primary counts as unreachable, if it is being asked.
    fn suspicion(&self, primary: Option<&DatabaseView>) -> Option<Timestamp> {
        let observed = self.databases.get(&primary?.name)?;
        let asked = observed.probed_at.filter(|_| observed.in_flight)?;
        Some(asked + self.pace.patience)
    }

    /// The pace of a group in a hurry; none in quiet times.
    fn update_mood(
        &mut self,
        now: Timestamp,
        group: &GroupName,
        primary: Option<&DatabaseView>,
        suspicion: Option<Timestamp>,
    ) -> Option<Duration> {
        let mood = self.moods.get_mut(group)?;
        let leaderless = !primary.is_some_and(|primary| primary.reachable);
        let silent = suspicion.is_some_and(|at| at <= now);
        if !(leaderless || silent || now < mood.alarm_until) {
            mood.hurried_since = None;
            return None;
        }
        let since = *mood.hurried_since.get_or_insert(now);
        let weary = now.since(since) > self.pace.hurry;
        Some(if weary {
            self.pace.weary
        } else {
            self.pace.hurried
        })
    }
}

impl Observed {
    /// When the next probe is due: an interval after the last probe or the last status
    /// that traffic has given, whichever is later.
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
