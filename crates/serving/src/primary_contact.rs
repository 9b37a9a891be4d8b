//! Tracks whether the primaries respond to this node.

use hookpoint_coordination::serving::directory::Database;
use hookpoint_state::{DatabaseName, Timestamp};
use serde_json::Value;

use crate::node::{Contact, Node};
use crate::units::millis;

impl Node {
    /// Records that a database responded.
    pub fn note_contact(&self, name: &DatabaseName) {
        let Some(database) = self.database(name) else {
            return;
        };
        let now = self.now();
        let lost_since = self.with_group(&database.group, |state| {
            if state.leadership.leader() != Some(name) {
                return None;
            }
            let before = state.contact.lost_since;
            state.contact = Contact {
                last_answer_at: now,
                ..Contact::default()
            };
            before
        });
        if let Some(since) = lost_since {
            let away = millis(now.since(since));
            self.log_primary("primary_regained", &database, ("away_ms", away.into()));
        }
    }

    /// Records that a request sent to the primary at `asked_at` was not answered.
    pub fn note_lost_contact(&self, name: &DatabaseName, asked_at: Timestamp, refused: bool) {
        let Some(database) = self.database_unless_restarted(name, asked_at) else {
            return;
        };
        let newly_lost = self.with_group(&database.group, |state| {
            let contact = &mut state.contact;
            if state.leadership.leader() != Some(name) || contact.last_answer_at > asked_at {
                return false;
            }
            let newly_lost = contact.lost_since.is_none();
            contact.lost_since.get_or_insert(asked_at);
            contact.refused = refused;
            newly_lost
        });
        if newly_lost {
            self.log_primary(
                "primary_unreachable",
                &database,
                ("refused", refused.into()),
            );
        }
    }

    fn log_primary(&self, event: &'static str, database: &Database, detail: (&str, Value)) {
        self.log(
            event,
            &[
                ("group", database.group.as_str().into()),
                ("database", database.name.as_str().into()),
                detail,
            ],
        );
    }
}
