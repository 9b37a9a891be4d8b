//! A timer with a finer resolution than the millisecond of the runtime's timer.
//!
//! One thread per process sleeps until the next deadline and wakes the tasks
//! whose deadline has passed. It never fires early and never busy-waits.

use parking_lot::Mutex;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, OnceLock};
use std::task::{Context, Poll, Waker};
use std::thread::Thread;
use std::time::Instant;

/// State shared by the timer thread and one sleeping task.
#[derive(Debug, Default)]
struct Alarm {
    fired: bool,
    waker: Option<Waker>,
}

#[derive(Debug)]
struct Entry {
    deadline: Instant,
    sequence: u64,
    alarm: Arc<Mutex<Alarm>>,
}

impl Entry {
    fn order(&self) -> (Instant, u64) {
        (self.deadline, self.sequence)
    }
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.order() == other.order()
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> Ordering {
        self.order().cmp(&other.order())
    }
}

#[derive(Debug, Default)]
struct Queue {
    entries: BinaryHeap<Reverse<Entry>>,
    next_sequence: u64,
}

/// Handle to the timer of the process.
#[derive(Debug, Clone)]
pub(super) struct Timer {
    queue: Arc<Mutex<Queue>>,
    thread: Thread,
}

static TIMER: OnceLock<Timer> = OnceLock::new();

impl Timer {
    /// Returns the timer; the first call starts its thread.
    pub(super) fn get() -> std::io::Result<Self> {
        if let Some(timer) = TIMER.get() {
            return Ok(timer.clone());
        }
        // Concurrent first calls may start two threads; the second thread then
        // has an empty queue and stays parked.
        let started = Self::start()?;
        Ok(TIMER.get_or_init(|| started).clone())
    }

    fn start() -> std::io::Result<Self> {
        let queue = Arc::new(Mutex::new(Queue::default()));
        let timer_queue = Arc::clone(&queue);
        let thread = std::thread::Builder::new()
            .name("link-timer".to_owned())
            .spawn(move || run(&timer_queue))?
            .thread()
            .clone();
        Ok(Self { queue, thread })
    }

    /// Returns a future that completes at a deadline.
    pub(super) fn sleep_until(&self, deadline: Instant) -> Sleep<'_> {
        Sleep {
            timer: self,
            deadline,
            alarm: None,
        }
    }

    fn add(&self, deadline: Instant, alarm: Arc<Mutex<Alarm>>) {
        let mut queue = self.queue.lock();
        let sequence = queue.next_sequence;
        queue.next_sequence += 1;
        let is_first = match queue.entries.peek() {
            Some(Reverse(first)) => deadline < first.deadline,
            None => true,
        };
        queue.entries.push(Reverse(Entry {
            deadline,
            sequence,
            alarm,
        }));
        drop(queue);
        if is_first {
            self.thread.unpark();
        }
    }
}

fn run(queue: &Mutex<Queue>) {
    loop {
        let (due, next) = take_due(&mut queue.lock(), Instant::now());
        due.into_iter().for_each(fire);
        match next {
            Some(next) => {
                let remaining = next.saturating_duration_since(Instant::now());
                if !remaining.is_zero() {
                    std::thread::park_timeout(remaining);
                }
            }
            None => std::thread::park(),
        }
    }
}

fn take_due(queue: &mut Queue, now: Instant) -> (Vec<Entry>, Option<Instant>) {
    let mut due = Vec::new();
    while let Some(Reverse(first)) = queue.entries.peek() {
        if first.deadline > now {
            return (due, Some(first.deadline));
        }
        due.extend(queue.entries.pop().map(|Reverse(entry)| entry));
    }
    (due, None)
}

fn fire(entry: Entry) {
    let mut alarm = entry.alarm.lock();
    alarm.fired = true;
    let waker = alarm.waker.take();
    drop(alarm);
    if let Some(waker) = waker {
        waker.wake();
    }
}

/// Future that completes at its deadline.
pub(super) struct Sleep<'a> {
    timer: &'a Timer,
    deadline: Instant,
    alarm: Option<Arc<Mutex<Alarm>>>,
}

impl Future for Sleep<'_> {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if let Some(alarm) = &self.alarm {
            let mut alarm = alarm.lock();
            if alarm.fired {
                return Poll::Ready(());
            }
            alarm.waker = Some(context.waker().clone());
            return Poll::Pending;
        }
        if self.deadline <= Instant::now() {
            return Poll::Ready(());
        }
        let alarm = Arc::new(Mutex::new(Alarm {
            fired: false,
            waker: Some(context.waker().clone()),
        }));
        self.alarm = Some(Arc::clone(&alarm));
        self.timer.add(self.deadline, alarm);
        Poll::Pending
    }
}

impl Drop for Sleep<'_> {
    fn drop(&mut self) {
        // The entry stays in the queue until its deadline, without a task to wake.
        if let Some(alarm) = &self.alarm {
            alarm.lock().waker = None;
        }
    }
}
