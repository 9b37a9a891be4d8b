//! Tokens for the operations of tenants: asking for them, and granting those held here.
//!
//! What is granted is decided by `hookpoint_coordination::serving::quota`, who holds a tenant's
//! tokens by `token_holders`.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hookpoint_coordination::serving::quota::{
    GrantLimit, TAKEOVER_PAUSE, TOKEN_LIFE, TokenAnswer, TokenHolder,
};
use hookpoint_coordination::serving::token_holders::MOST_HOLDERS;
use hookpoint_state::{TenantName, Timestamp};
use tokio::sync::{Notify, oneshot};
use tokio::time::{sleep, timeout};

use crate::feed;
use crate::homes::{MEMBER_RETENTION, Peer};
use crate::node::Node;
use crate::peer_message::PeerMessage;
use crate::reachability;

/// A question without an answer is sent once more after this time, as datagrams get lost: the
/// usual round trip between regions (40 ms) and half as much.
const REPEAT_AFTER: Duration = Duration::from_millis(60);
/// An answer that takes longer is not waited for, and another holder is asked.
const ANSWER_LIMIT: Duration = Duration::from_millis(130);
/// Pause between looks whether the other nodes are known.
const FLEET_LOOK: Duration = Duration::from_millis(10);
/// Pause between looks whether the holders answer.
const HOLDERS_LOOK: Duration = Duration::from_millis(250);

/// What a node keeps of tokens.
#[derive(Default)]
pub(crate) struct Tokens {
    granting: RefCell<TokenHolder>,
    /// From when on the tokens held here came back.
    held_from: RefCell<BTreeMap<TenantName, Timestamp>>,
    /// When one of them last ceased to.
    member_left_at: Cell<Option<Timestamp>>,
    /// Until when each holder has no token of a tenant.
    dry: RefCell<BTreeMap<(TenantName, String), Timestamp>>,
    awaiting: RefCell<BTreeMap<u64, oneshot::Sender<TokenAnswer>>>,
    next_nonce: Cell<u64>,
    due: RefCell<Vec<(PeerMessage, SocketAddr)>>,
    question_due: Notify,
    /// Since when most tenants' operations cannot be counted here.
    uncounted_since: Cell<Option<Timestamp>>,
    looked_at: Cell<Timestamp>,
}

/// Why an operation may not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoToken {
    /// The tenant is over its limit.
    OverLimit {
        /// When a token comes back.
        retry_after: Duration,
    },
    /// No node that counts the tenant's operations answers.
    NotCounted,
}

impl Tokens {
    /// The questions to send, as soon as there are some.
    pub(crate) async fn due_questions(&self) -> Vec<(PeerMessage, SocketAddr)> {
        while self.due.borrow().is_empty() {
            self.question_due.notified().await;
        }
        self.due.take()
    }

    /// Takes in that a node no longer counts as a member.
    pub(crate) fn note_member_left(&self, now: Timestamp) {
        self.member_left_at.set(Some(now));
    }

    /// From when on tokens that this node holds now come back. A process that has just
    /// started has granted none, and begins at once; one that takes over from another node
    /// waits until nobody asks that one any more.
    fn held_from(&self, tenant: &TenantName, started_at: Timestamp) -> Timestamp {
        let left_at = self.member_left_at.get();
        let from = left_at.map_or(started_at, |left_at| left_at + TAKEOVER_PAUSE);
        let mut held_from = self.held_from.borrow_mut();
        *held_from.entry(tenant.clone()).or_insert(from)
    }

    fn let_go(&self, tenant: &TenantName) {
        if self.held_from.borrow_mut().remove(tenant).is_some() {
            self.granting.borrow_mut().forget(tenant);
        }
    }

    fn dry_until(&self, tenant: &TenantName, holder: &Peer) -> Timestamp {
        let key = (tenant.clone(), holder.name.clone());
        self.dry.borrow().get(&key).copied().unwrap_or_default()
    }

    /// Forgets until when holders were dry that no longer are.
    fn forget_past(&self, now: Timestamp) {
        self.dry.borrow_mut().retain(|_, until| *until > now);
    }

    fn note_dry(&self, tenant: &TenantName, holder: &Peer, until: Timestamp) {
        let key = (tenant.clone(), holder.name.clone());
        self.dry.borrow_mut().insert(key, until);
    }

    fn send(&self, question: PeerMessage, address: SocketAddr) {
        self.due.borrow_mut().push((question, address));
        self.question_due.notify_one();
    }

    fn await_answer(&self) -> (u64, oneshot::Receiver<TokenAnswer>) {
        let nonce = self.next_nonce.get();
        self.next_nonce.set(nonce + 1);
        let (sender, receiver) = oneshot::channel();
        self.awaiting.borrow_mut().insert(nonce, sender);
        (nonce, receiver)
    }
}

impl Node {
    /// What all holders together may grant to a tenant; nothing if it has no limit.
    fn grant_limit(&self, tenant: &TenantName) -> Option<GrantLimit> {
        let bounds = self.changeable().quota?;
        let limit = self.configuration()?.tenants.limit(tenant)?;
        Some(bounds.grant_limit(limit))
    }

    /// Whether others still count this node as a member if they know better than it does: it
    /// hears of the store, or its lease has held until now.
    fn may_hold_tokens(&self) -> bool {
        let now = self.now();
        let counted = self.settings.lease_time + MEMBER_RETENTION;
        self.knows_fleet()
            && (feed::is_fresh(self) || now.since(self.lease_renewed_at.get()) < counted)
    }

    /// Whether operations can be counted: nobody's are, or this node knows who counts them.
    pub(crate) fn can_count_operations(&self) -> bool {
        let counted = self.changeable().quota.is_some()
            && self
                .configuration()
                .is_some_and(|configuration| !configuration.tenants.limits.is_empty());
        !counted || self.knows_fleet()
    }

    /// Since when most tenants' operations cannot be counted here, as no holder of their tokens
    /// answers: others serve this node's callers better.
    pub(crate) fn uncounted_since(&self) -> Option<Timestamp> {
        self.tokens.uncounted_since.get()
    }

    /// Whether a holder of the tenant's tokens may answer.
    fn counts(&self, tenant: &TenantName) -> bool {
        let Some(limit) = self.grant_limit(tenant) else {
            return true;
        };
        let holders = self.token_holders(tenant, limit.holders(MOST_HOLDERS));
        holders.iter().any(|holder| {
            holder.name == self.settings.name || self.reachability.may_ask(holder, self.now())
        })
    }
}

/// Grants one token held here, if there is one within `patience`.
pub(crate) fn grant(node: &Node, tenant: &TenantName, patience: Duration) -> TokenAnswer {
    let Some(limit) = node.grant_limit(tenant) else {
        return TokenAnswer::NotHeld;
    };
    let holders = limit.holders(MOST_HOLDERS);
    let held = node
        .token_holders(tenant, holders)
        .iter()
        .any(|holder| holder.name == node.settings.name);
    if !held {
        node.tokens.let_go(tenant);
    }
    if !held || !node.may_hold_tokens() {
        return TokenAnswer::NotHeld;
    }
    let from = node.tokens.held_from(tenant, node.started_at());
    let mut granting = node.tokens.granting.borrow_mut();
    granting.take(tenant, limit.part(holders), from, node.now(), patience)
}

/// Takes the answer to a question that may still be open.
pub(crate) fn take_answer(node: &Node, nonce: u64, peer: &str, answer: TokenAnswer) {
    reachability::note_heard(node, peer);
    let waiting = node.tokens.awaiting.borrow_mut().remove(&nonce);
    let unused = waiting.is_none_or(|waiting| waiting.send(answer).is_err());
    if unused {
        node.counters.count("tokens", "late");
    }
}

/// Takes a token for one operation of a tenant, from the nearest holder that has one; waits
/// for one that comes back within `patience`.
pub(crate) async fn take(
    node: &Rc<Node>,
    tenant: &TenantName,
    patience: Duration,
) -> Result<(), NoToken> {
    let Some(limit) = node.grant_limit(tenant) else {
        return Ok(());
    };
    let asked_at = node.now();
    await_fleet(node, asked_at + patience).await;
    let holders = node.token_holders(tenant, limit.holders(MOST_HOLDERS));
    let mut soonest: Option<(Timestamp, &Peer)> = None;
    for holder in holders.iter() {
        let mut dry_until = node.tokens.dry_until(tenant, holder);
        if dry_until <= node.now() {
            match ask(node, tenant, holder, Duration::ZERO).await {
                Some(TokenAnswer::Granted { .. }) => return Ok(()),
                Some(TokenAnswer::Dry { retry_after_us }) => {
                    dry_until = node.now() + Duration::from_micros(retry_after_us);
                    node.tokens.note_dry(tenant, holder, dry_until);
                }
                Some(TokenAnswer::NotHeld) | None => continue,
            }
        }
        if soonest.is_none_or(|(until, _)| dry_until < until) {
            soonest = Some((dry_until, holder));
        }
    }
    let Some((until, holder)) = soonest else {
        return Err(NoToken::NotCounted);
    };
    let left = (asked_at + patience).since(node.now());
    let retry_after = until.since(node.now());
    if retry_after > left {
        return Err(NoToken::OverLimit { retry_after });
    }
    take_when_back(node, tenant, holder, left).await
}

/// Waits until this node knows the others, which takes a moment after its start.
async fn await_fleet(node: &Rc<Node>, until: Timestamp) {
    while !node.knows_fleet() && node.now() < until {
        sleep(FLEET_LOOK).await;
    }
}

/// Takes a token that comes back soon, and waits until it has.
async fn take_when_back(
    node: &Rc<Node>,
    tenant: &TenantName,
    holder: &Peer,
    patience: Duration,
) -> Result<(), NoToken> {
    let asked_at = node.now();
    match ask(node, tenant, holder, patience).await {
        Some(TokenAnswer::Granted { after_us }) => {
            let after = Duration::from_micros(after_us);
            sleep((asked_at + after).since(node.now())).await;
            if node.now() > asked_at + after + TOKEN_LIFE {
                node.counters.count("tokens", "expired");
                let retry_after = Duration::ZERO;
                return Err(NoToken::OverLimit { retry_after });
            }
            Ok(())
        }
        Some(TokenAnswer::Dry { retry_after_us }) => {
            let retry_after = Duration::from_micros(retry_after_us);
            let until = node.now() + retry_after;
            node.tokens.note_dry(tenant, holder, until);
            Err(NoToken::OverLimit { retry_after })
        }
        Some(TokenAnswer::NotHeld) | None => Err(NoToken::NotCounted),
    }
}

/// Asks one holder; nothing if it does not answer, or too late for its answer to be used.
async fn ask(
    node: &Rc<Node>,
    tenant: &TenantName,
    holder: &Peer,
    patience: Duration,
) -> Option<TokenAnswer> {
    if holder.name == node.settings.name {
        return Some(grant(node, tenant, patience));
    }
    let now = node.now();
    if !node.reachability.may_ask(holder, now) {
        return None;
    }
    let (nonce, mut answer) = node.tokens.await_answer();
    let question = PeerMessage::AskToken {
        nonce,
        tenant: tenant.clone(),
        patience_us: u64::try_from(patience.as_micros()).unwrap_or(u64::MAX),
    };
    node.tokens.send(question.clone(), holder.address);
    let mut received = timeout(REPEAT_AFTER, &mut answer).await;
    if received.is_err() {
        node.counters.count("tokens", "asked_again");
        node.tokens.send(question, holder.address);
        received = timeout(ANSWER_LIMIT - REPEAT_AFTER, &mut answer).await;
    }
    node.tokens.awaiting.borrow_mut().remove(&nonce);
    let in_time = node.now() <= now + TOKEN_LIFE;
    match received {
        Ok(Ok(answer)) if in_time => Some(answer),
        _ => {
            node.counters.count("tokens", "unanswered");
            node.reachability.probe_ahead(holder, node.now());
            None
        }
    }
}

/// Looks now and then whether the holders of tenants' tokens answer.
pub(crate) fn look_for_holders(node: &Node) {
    let now = node.now();
    let tokens = &node.tokens;
    if now.since(tokens.looked_at.get()) < HOLDERS_LOOK || !node.knows_fleet() {
        return;
    }
    tokens.looked_at.set(now);
    tokens.forget_past(now);
    let Some(configuration) = node.configuration() else {
        return;
    };
    let tenants = configuration.tenants.limits.keys();
    let uncounted = tenants.filter(|tenant| !node.counts(tenant)).count();
    if uncounted * 2 <= configuration.tenants.limits.len() {
        tokens.uncounted_since.set(None);
    } else if tokens.uncounted_since.get().is_none() {
        tokens.uncounted_since.set(Some(now));
        node.log("limits_not_counted", &[("tenants", uncounted.into())]);
    }
}
