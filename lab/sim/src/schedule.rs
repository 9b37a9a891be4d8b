//! Virtual time: a queue of events ordered by time and, at equal times, by insertion.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use hookpoint_state::Timestamp;

/// Event queue that also holds the current virtual time.
#[derive(Debug)]
pub struct Schedule<E> {
    heap: BinaryHeap<Reverse<Entry<E>>>,
    next_number: u64,
    now: Timestamp,
}

#[derive(Debug)]
struct Entry<E> {
    at: Timestamp,
    number: u64,
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

impl<E> Schedule<E> {
    /// Creates an empty queue at time zero.
    pub fn new() -> Self {
        Self {
            heap: BinaryHeap::new(),
            next_number: 0,
            now: Timestamp::default(),
        }
    }

    /// Returns the current time: that of the last event taken.
    pub fn now(&self) -> Timestamp {
        self.now
    }

    /// Schedules an event. An event in the past is scheduled for the current time.
    pub fn at(&mut self, at: Timestamp, event: E) {
        self.next_number += 1;
        self.heap.push(Reverse(Entry {
            at: at.max(self.now),
            number: self.next_number,
            event,
        }));
    }

    /// Removes and returns the next event due before `end`, and advances the time to it.
    pub fn next_before(&mut self, end: Timestamp) -> Option<E> {
        if self
            .heap
            .peek()
            .is_none_or(|Reverse(entry)| entry.at >= end)
        {
            return None;
        }
        let Reverse(entry) = self.heap.pop()?;
        self.now = entry.at;
        Some(entry.event)
    }
}

impl<E> Default for Schedule<E> {
    fn default() -> Self {
        Self::new()
    }
}
