//! Discards the state that belongs to an earlier incarnation of a database when the database
//! restarts: see [`hookpoint_coordination::serving::database_incarnation`].

use std::collections::BTreeSet;
use std::rc::Rc;

use hookpoint_coordination::serving::directory::{Database, RegistrationOutcome};
use hookpoint_coordination::serving::withheld_commits::WithheldCommits;
use hookpoint_state::{DatabaseName, StoreRevision, Timestamp};

use crate::node::{Contact, Node};
use crate::pool::Pool;

impl Node {
    /// Applies the registration of a database read at `revision` of the store.
    pub(crate) fn register_database(&self, database: Database, revision: StoreRevision) {
        let name = database.name.clone();
        let before = self.directory.borrow().get(&name).cloned();
        let registration =
            self.directory
                .borrow_mut()
                .put(database, revision, self.learned_times());
        self.note_registered_warm_up(&name, before.as_ref(), registration);
        self.log_departure(&name, before.as_ref());
        if registration == RegistrationOutcome::NewIncarnation {
            self.discard_earlier_incarnation(&name);
        }
    }

    /// Applies a complete listing of the databases, read at `revision`.
    pub(crate) fn register_databases(
        &self,
        listing: Vec<(Database, StoreRevision)>,
        revision: StoreRevision,
    ) {
        let present: BTreeSet<DatabaseName> = listing
            .iter()
            .map(|(database, _)| database.name.clone())
            .collect();
        for (database, entry_revision) in listing {
            self.register_database(database, entry_revision);
        }
        let absent = self.directory.borrow().absent_from(&present);
        for name in absent {
            self.remove_database(&name, revision);
        }
    }

    /// Records that the entry of a database was removed as of `revision`.
    pub(crate) fn remove_database(&self, name: &DatabaseName, revision: StoreRevision) {
        let before = self.directory.borrow().get(name).cloned();
        let times = self.learned_times();
        self.directory.borrow_mut().remove(name, revision, times);
        self.log_departure(name, before.as_ref());
    }

    /// Returns a listed database, unless it has restarted since `asked_at`: an answer to a request
    /// sent before the restart is not valid for the current incarnation.
    pub(crate) fn database_unless_restarted(
        &self,
        name: &DatabaseName,
        asked_at: Timestamp,
    ) -> Option<Database> {
        let directory = self.directory.borrow();
        let listed = directory.get(name)?;
        if !listed.is_of_current_incarnation(asked_at) {
            self.counters.count("database_answers", "earlier_life");
            return None;
        }
        Some(listed.database.clone())
    }

    /// Discards all state of `name` from before the restart that this node has just learnt of.
    fn discard_earlier_incarnation(&self, name: &DatabaseName) {
        let Some(database) = self.database(name) else {
            return;
        };
        let now = self.now();
        let had_led = self.with_group(&database.group, |state| {
            let had_led = state.leadership.end_incarnation(name, now);
            if had_led {
                state.contact = Contact::default();
                state.leaderless_since.get_or_insert(now);
            }
            let names_database = |(named, _): &(DatabaseName, Timestamp)| named == name;
            if state.overruled_proof.as_ref().is_some_and(names_database) {
                state.overruled_proof = None;
            }
            // Where promotions are not fenced, only the candidate of the newest order may lead,
            // also after a restart, until another promotion is announced. In a synchronous group
            // an order for the candidate may take effect after the restart as well.
            let fenced = self.changeable().fenced_promotions;
            let withholds = state.withheld != WithheldCommits::None;
            if fenced && !withholds && state.promoting.as_ref().is_some_and(names_database) {
                state.promoting = None;
            }
            had_led
        });
        if let Some(pool) = self.pools.borrow_mut().remove(name) {
            pool.retire();
        }
        self.links.unskip_database(name);
        self.homes.borrow_mut().forget_view(name);
        self.log(
            "database_restarted",
            &[
                ("database", name.as_str().into()),
                ("group", database.group.as_str().into()),
                ("started", database.started.map(|start| start.0).into()),
                ("had_led", had_led.into()),
            ],
        );
        self.leader_changed.notify_waiters();
    }

    /// Returns the connection pool of a database's current incarnation, created on first use.
    pub fn pool(self: &Rc<Self>, name: &DatabaseName) -> Rc<Pool> {
        let mut pools = self.pools.borrow_mut();
        let pool = pools
            .entry(name.clone())
            .or_insert_with(|| Rc::new(Pool::new(Rc::downgrade(self), name.clone())));
        pool.note_considered(self.now());
        Rc::clone(pool)
    }

    /// Returns all connection pools.
    pub fn pools(&self) -> Vec<Rc<Pool>> {
        self.pools.borrow().values().cloned().collect()
    }

    /// Returns the pools of databases that this node cannot reach.
    pub(crate) fn unreachable_pools(&self) -> Vec<Rc<Pool>> {
        let pools = self.pools.borrow();
        let unreachable = pools.values().filter(|pool| !pool.is_reachable());
        unreachable.cloned().collect()
    }

    /// Closes connections beyond those needed lately, and drops pools that hold no connections and
    /// have not been used for long.
    pub(crate) fn trim_pools(&self) {
        let now = self.now();
        let open: Vec<Rc<Pool>> = {
            let mut pools = self.pools.borrow_mut();
            pools.retain(|_, pool| Rc::strong_count(pool) > 1 || !pool.can_be_dropped(now));
            let open = pools.values().filter(|pool| pool.open_connections() > 0);
            open.cloned().collect()
        };
        for pool in open {
            let is_home = self.connection_cap(pool.database()) > 0;
            pool.trim(is_home, now);
        }
    }

    /// Drops the pools of databases that are no longer listed.
    pub fn drop_unlisted_pools(&self) {
        let directory = self.directory.borrow();
        self.pools.borrow_mut().retain(|name, pool| {
            let listed = directory.get(name).is_some();
            if !listed {
                pool.close_idle();
            }
            listed
        });
        drop(directory);
        self.drop_unlisted_cold_starts();
    }
}
