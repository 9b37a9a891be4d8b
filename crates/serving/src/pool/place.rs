//! A place among a pool's open connections.

use std::rc::Rc;

use super::Pool;

/// A place among the open connections; free again when dropped before it is filled.
pub(super) struct Place {
    pool: Rc<Pool>,
    filled: bool,
}

impl Place {
    /// Takes one more.
    pub(super) fn new(pool: &Rc<Pool>) -> Self {
        pool.open.set(pool.open.get() + 1);
        Self::of_closed(pool)
    }

    /// The place of a connection that was closed and is still counted as open.
    pub(super) fn of_closed(pool: &Rc<Pool>) -> Self {
        Self {
            pool: Rc::clone(pool),
            filled: false,
        }
    }

    /// A connection stands in it from now on.
    pub(super) fn fill(mut self) {
        self.filled = true;
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if !self.filled {
            self.pool.open.set(self.pool.open.get() - 1);
        }
    }
}
