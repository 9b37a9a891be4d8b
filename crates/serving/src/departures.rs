//! What this node knows and tells of databases that leave.

use std::time::Duration;

use hookpoint_coordination::serving::directory::Listed;
use hookpoint_state::DatabaseName;

use crate::node::Node;
use crate::units::millis;

impl Node {
    /// For how long a database counts as leaving; nothing if it does not.
    pub(crate) fn leaving_for(&self, name: &DatabaseName) -> Option<Duration> {
        let directory = self.directory.borrow();
        let since = directory.get(name)?.leaving_since?;
        Some(self.now().since(since))
    }

    /// Logs that a database leaves, if it did not `before`, with the age of what this node had
    /// known of the store until then: the announcement is no older than that.
    pub(crate) fn tell_departure(&self, name: &DatabaseName, before: Option<&Listed>) {
        let left_before = before.is_some_and(|listed| listed.leaving_since.is_some());
        let directory = self.directory.borrow();
        let leaving = directory
            .get(name)
            .filter(|listed| listed.leaving_since.is_some());
        let Some(listed) = leaving.filter(|_| !left_before) else {
            return;
        };
        let now = self.now();
        let since = listed.leaving_since.unwrap_or(now);
        self.log(
            "database_leaving",
            &[
                ("database", name.as_str().into()),
                ("announced", (!listed.missing).into()),
                ("revision", listed.revision.into()),
                ("leaving_ms", millis(now.since(since)).into()),
                (
                    "news_before_ms_ago",
                    millis(now.since(self.feed.news_before())).into(),
                ),
            ],
        );
    }
}
