//! What the sessions of the two deployments do all day.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::deployment::Application;
use crate::history::{Ending, SessionNumber, WriteKind};
use crate::session::ClientSession;

/// Share of turns on which a session moves to another proxy.
const ROAM_SHARE: f64 = 0.01;
/// Rows of a billing run.
const BILLING_LINES: std::ops::RangeInclusive<u32> = 2..=4;
/// Share of billing runs that are rolled back.
const ROLLBACK_SHARE: f64 = 0.2;
/// Billing runs are this much rarer than other requests of a session.
const BILLING_PAUSE_FACTOR: u32 = 4;

/// What a session does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// A clinic or shop: sends messages and reads replies.
    Shop,
    /// Submits meter readings.
    Reader,
    /// Corrects readings.
    Clerk,
    /// Runs billing.
    Billing,
    /// Looks at its consumption, and writes hardly ever.
    Customer,
    /// Writes steadily, to see how long writes cannot proceed.
    SteadyWriter,
}

impl Role {
    /// The role of the session at `index` within its group of `count` sessions.
    pub fn of(application: Application, index: usize, count: usize) -> Self {
        if index == 0 {
            return Role::SteadyWriter;
        }
        if application == Application::Messaging {
            return match index {
                1 => Role::Billing,
                _ => Role::Shop,
            };
        }
        match index * 100 / count.max(1) {
            0..=1 => Role::Billing,
            2..=6 => Role::Clerk,
            7..=14 => Role::Reader,
            _ => Role::Customer,
        }
    }
}

/// What a session is asked to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Turn {
    Write(WriteKind),
    ReadOwn,
    ReadOther,
    Billing,
    Roam,
}

/// How a session runs.
#[derive(Clone, Debug)]
pub struct Run {
    /// Its role.
    pub role: Role,
    /// Mean pause between two turns.
    pub mean_pause: Duration,
    /// Sessions of the same group, for reads about others.
    pub subjects: Arc<Vec<SessionNumber>>,
    /// Set when the run is over.
    pub stop: Arc<AtomicBool>,
}

/// Runs `session` until it is told to stop.
pub async fn run(mut session: ClientSession, run: Run) {
    let first = pause(session.random(), run.mean_pause);
    tokio::time::sleep(first).await;
    while !run.stop.load(Ordering::Relaxed) {
        take_turn(&mut session, &run).await;
        let mean = match run.role {
            Role::Billing => run.mean_pause * BILLING_PAUSE_FACTOR,
            _ => run.mean_pause,
        };
        let pause = match run.role {
            Role::SteadyWriter => run.mean_pause,
            _ => pause(session.random(), mean),
        };
        tokio::time::sleep(pause).await;
    }
}

async fn take_turn(session: &mut ClientSession, run: &Run) {
    match next_turn(session.random(), run.role) {
        Turn::Write(kind) => {
            session.write(kind).await;
        }
        Turn::ReadOwn => session.read_own().await,
        Turn::ReadOther => {
            let index = session.random().random_range(0..run.subjects.len().max(1));
            if let Some(subject) = run.subjects.get(index) {
                session.read_other(*subject).await;
            }
        }
        Turn::Billing => {
            let lines = session.random().random_range(BILLING_LINES);
            let ending = match session.random().random_bool(ROLLBACK_SHARE) {
                true => Ending::Rollback,
                false => Ending::Commit,
            };
            session.billing_run(lines, ending).await;
        }
        Turn::Roam => session.roam().await,
    }
}

fn next_turn(random: &mut ChaCha8Rng, role: Role) -> Turn {
    if role != Role::SteadyWriter && random.random_bool(ROAM_SHARE) {
        return Turn::Roam;
    }
    let draw = random.random_range(0..100);
    match role {
        Role::SteadyWriter => Turn::Write(WriteKind::Confirmation),
        Role::Shop => match draw {
            0..=24 => Turn::Write(WriteKind::Reminder),
            25..=34 => Turn::Write(WriteKind::ChargeNotice),
            35..=44 => Turn::Write(WriteKind::Confirmation),
            45..=54 => Turn::Write(WriteKind::Reply),
            55..=89 => Turn::ReadOwn,
            _ => Turn::ReadOther,
        },
        Role::Reader => match draw {
            0..=49 => Turn::Write(WriteKind::Reading),
            _ => Turn::ReadOwn,
        },
        Role::Clerk => match draw {
            0..=29 => Turn::Write(WriteKind::Correction),
            30..=69 => Turn::ReadOwn,
            _ => Turn::ReadOther,
        },
        Role::Billing => match draw {
            0..=49 => Turn::Billing,
            _ => Turn::ReadOther,
        },
        Role::Customer => match draw {
            0..=1 => Turn::Write(WriteKind::Reply),
            2..=39 => Turn::ReadOwn,
            _ => Turn::ReadOther,
        },
    }
}

/// An exponentially distributed pause, cut at four times its mean.
fn pause(random: &mut ChaCha8Rng, mean: Duration) -> Duration {
    let draw: f64 = random.random_range(1e-9..1.0);
    mean.mul_f64((-draw.ln()).min(4.0))
}
