//! Permits that count against a pool's number of open connections.

use std::rc::Rc;

use super::Pool;

/// A permit to open one connection, which counts as open. Dropping it before a connection was
/// opened lowers the count again.
pub(super) struct OpenPermit {
    pool: Rc<Pool>,
    opened: bool,
}

impl OpenPermit {
    /// Counts one more connection as open.
    pub(super) fn new(pool: &Rc<Pool>) -> Self {
        pool.open.set(pool.open.get() + 1);
        Self::from_closed(pool)
    }

    /// Takes over the count of a connection that was closed and is still counted as open.
    pub(super) fn from_closed(pool: &Rc<Pool>) -> Self {
        Self {
            pool: Rc::clone(pool),
            opened: false,
        }
    }

    /// Notes that the connection was opened; it remains counted after the permit is dropped.
    pub(super) fn mark_opened(mut self) {
        self.opened = true;
    }
}

impl Drop for OpenPermit {
    fn drop(&mut self) {
        if !self.opened {
            self.pool.open.set(self.pool.open.get() - 1);
        }
    }
}
