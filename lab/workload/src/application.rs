//! The behaviour of client sessions in the two deployments: the requests that each role
//! sends, and the pauses between them.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::deployment::Application;
use crate::history::{Ending, SessionNumber, WriteKind};
use crate::session::ClientSession;

/// Probability that the next action of a session is to switch to another proxy.
const SWITCH_PROXY_SHARE: f64 = 0.01;
/// Range of the number of rows in a billing run.
const BILLING_LINES: std::ops::RangeInclusive<u32> = 2..=4;
/// Share of billing runs that are rolled back.
const ROLLBACK_SHARE: f64 = 0.2;
/// Factor by which the mean pause of a billing session exceeds that of other sessions.
const BILLING_PAUSE_FACTOR: u32 = 4;

/// Role of a session, which decides the mix of its requests.
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
    /// Reads its consumption and rarely writes.
    Customer,
    /// Writes at a fixed interval, to measure how long writes are blocked.
    SteadyWriter,
}

impl Role {
    /// Returns the role of the session at `index` within its group of `count` sessions.
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

/// The next action of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Action {
    Write(WriteKind),
    ReadOwn,
    ReadOther,
    Billing,
    SwitchProxy,
}

/// Settings of the request loop of a session.
#[derive(Clone, Debug)]
pub struct RequestLoop {
    /// Role of the session.
    pub role: Role,
    /// Mean pause between two actions.
    pub mean_pause: Duration,
    /// Sessions of the same group whose rows the session may read.
    pub subjects: Arc<Vec<SessionNumber>>,
    /// Set to end the loop.
    pub stop: Arc<AtomicBool>,
}

/// Runs `session` until `request_loop.stop` is set.
pub async fn run_session(mut session: ClientSession, request_loop: RequestLoop) {
    let first = draw_pause(session.random(), request_loop.mean_pause);
    tokio::time::sleep(first).await;
    while !request_loop.stop.load(Ordering::Relaxed) {
        run_action(&mut session, &request_loop).await;
        let mean = match request_loop.role {
            Role::Billing => request_loop.mean_pause * BILLING_PAUSE_FACTOR,
            _ => request_loop.mean_pause,
        };
        let pause = match request_loop.role {
            Role::SteadyWriter => request_loop.mean_pause,
            _ => draw_pause(session.random(), mean),
        };
        tokio::time::sleep(pause).await;
    }
}

async fn run_action(session: &mut ClientSession, request_loop: &RequestLoop) {
    match choose_action(session.random(), request_loop.role) {
        Action::Write(kind) => {
            session.write(kind).await;
        }
        Action::ReadOwn => session.read_own().await,
        Action::ReadOther => {
            let index = session
                .random()
                .random_range(0..request_loop.subjects.len().max(1));
            if let Some(subject) = request_loop.subjects.get(index) {
                session.read_other(*subject).await;
            }
        }
        Action::Billing => {
            let lines = session.random().random_range(BILLING_LINES);
            let ending = match session.random().random_bool(ROLLBACK_SHARE) {
                true => Ending::Rollback,
                false => Ending::Commit,
            };
            session.billing_run(lines, ending).await;
        }
        Action::SwitchProxy => session.switch_proxy().await,
    }
}

fn choose_action(random: &mut ChaCha8Rng, role: Role) -> Action {
    if role != Role::SteadyWriter && random.random_bool(SWITCH_PROXY_SHARE) {
        return Action::SwitchProxy;
    }
    let draw = random.random_range(0..100);
    match role {
        Role::SteadyWriter => Action::Write(WriteKind::Confirmation),
        Role::Shop => match draw {
            0..=24 => Action::Write(WriteKind::Reminder),
            25..=34 => Action::Write(WriteKind::ChargeNotice),
            35..=44 => Action::Write(WriteKind::Confirmation),
            45..=54 => Action::Write(WriteKind::Reply),
            55..=89 => Action::ReadOwn,
            _ => Action::ReadOther,
        },
        Role::Reader => match draw {
            0..=49 => Action::Write(WriteKind::Reading),
            _ => Action::ReadOwn,
        },
        Role::Clerk => match draw {
            0..=29 => Action::Write(WriteKind::Correction),
            30..=69 => Action::ReadOwn,
            _ => Action::ReadOther,
        },
        Role::Billing => match draw {
            0..=49 => Action::Billing,
            _ => Action::ReadOther,
        },
        Role::Customer => match draw {
            0..=1 => Action::Write(WriteKind::Reply),
            2..=39 => Action::ReadOwn,
            _ => Action::ReadOther,
        },
    }
}

/// Draws an exponentially distributed pause, capped at four times its mean.
fn draw_pause(random: &mut ChaCha8Rng, mean: Duration) -> Duration {
    let draw: f64 = random.random_range(1e-9..1.0);
    mean.mul_f64((-draw.ln()).min(4.0))
}
