//! Rate-limit tokens for the operations of tenants: requests tokens from their holders, and grants
//! those held by this node.
//!
//! `hookpoint_coordination::serving::quota` decides what is granted, and `token_holders` which
//! nodes hold a tenant's tokens.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hookpoint_coordination::serving::quota::{
    GrantLimit, TAKEOVER_PAUSE, TOKEN_LIFE, TokenAnswer, TokenHolder,
};
use hookpoint_coordination::serving::token_holders::MAX_HOLDERS;
use hookpoint_state::{TenantName, Timestamp};
use tokio::sync::{Notify, oneshot};
use tokio::time::{sleep, timeout};

use crate::feed;
use crate::homes::{MEMBER_RETENTION, Peer};
use crate::node::Node;
use crate::peer_message::PeerMessage;
use crate::reachability;

/// A request without an answer is repeated once after this time, because datagrams may be lost:
/// one and a half times the usual round trip between regions (40 ms).
const REPEAT_AFTER: Duration = Duration::from_millis(60);
/// Time after which an answer is no longer awaited and another holder is asked.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(130);
/// Interval between checks whether the other nodes are known.
const FLEET_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between checks whether the holders respond.
const HOLDER_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// A node's state for requesting and granting tokens.
#[derive(Default)]
pub(crate) struct Tokens {
    granting: RefCell<TokenHolder>,
    /// For each tenant, the time from which the tokens held here are replenished.
    replenished_from: RefCell<BTreeMap<TenantName, Timestamp>>,
    /// When a node last ceased to count as a member.
    member_left_at: Cell<Option<Timestamp>>,
    /// For each tenant and holder, the time until which the holder has no token.
    exhausted: RefCell<BTreeMap<(TenantName, String), Timestamp>>,
    awaiting: RefCell<BTreeMap<u64, oneshot::Sender<TokenAnswer>>>,
    next_nonce: Cell<u64>,
    due: RefCell<Vec<(PeerMessage, SocketAddr)>>,
    request_due: Notify,
    /// Since when the operations of most tenants cannot be counted on this node.
    not_counted_since: Cell<Option<Timestamp>>,
    checked_at: Cell<Timestamp>,
}

/// The reason why an operation may not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TokenDenial {
    /// The tenant has exceeded its limit.
    OverLimit {
        /// When a token is available again.
        retry_after: Duration,
    },
    /// No node that counts the tenant's operations responds.
    NotCounted,
}

impl Tokens {
    /// Waits for requests to become due and returns them with their destinations.
    pub(crate) async fn due_requests(&self) -> Vec<(PeerMessage, SocketAddr)> {
        while self.due.borrow().is_empty() {
            self.request_due.notified().await;
        }
        self.due.take()
    }

    /// Records that a node no longer counts as a member.
    pub(crate) fn note_member_left(&self, now: Timestamp) {
        self.member_left_at.set(Some(now));
    }

    /// Returns the time from which the tokens that this node holds now are replenished. A process
    /// that has just started has granted none and begins immediately; one that takes over from
    /// another node waits until that node is no longer asked.
    fn replenished_from(&self, tenant: &TenantName, started_at: Timestamp) -> Timestamp {
        let left_at = self.member_left_at.get();
        let from = left_at.map_or(started_at, |left_at| left_at + TAKEOVER_PAUSE);
        let mut replenished_from = self.replenished_from.borrow_mut();
        *replenished_from.entry(tenant.clone()).or_insert(from)
    }

    fn release(&self, tenant: &TenantName) {
        if self.replenished_from.borrow_mut().remove(tenant).is_some() {
            self.granting.borrow_mut().forget(tenant);
        }
    }

    fn exhausted_until(&self, tenant: &TenantName, holder: &Peer) -> Timestamp {
        let key = (tenant.clone(), holder.name.clone());
        self.exhausted
            .borrow()
            .get(&key)
            .copied()
            .unwrap_or_default()
    }

    /// Removes entries of holders that may have tokens again.
    fn remove_expired(&self, now: Timestamp) {
        self.exhausted.borrow_mut().retain(|_, until| *until > now);
    }

    fn note_exhausted(&self, tenant: &TenantName, holder: &Peer, until: Timestamp) {
        let key = (tenant.clone(), holder.name.clone());
        self.exhausted.borrow_mut().insert(key, until);
    }

    fn send(&self, request: PeerMessage, address: SocketAddr) {
        self.due.borrow_mut().push((request, address));
        self.request_due.notify_one();
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
    /// Returns what all holders together may grant to a tenant, or `None` if it has no limit.
    fn grant_limit(&self, tenant: &TenantName) -> Option<GrantLimit> {
        let bounds = self.changeable().quota?;
        let limit = self.configuration()?.tenants.limit(tenant)?;
        Some(bounds.grant_limit(limit))
    }

    /// Returns whether other nodes still count this node as a member, even if they have newer
    /// information: this node follows the store, or its lease was valid until recently.
    fn may_hold_tokens(&self) -> bool {
        let now = self.now();
        let counted = self.settings.lease_time + MEMBER_RETENTION;
        self.membership_is_complete()
            && (feed::is_fresh(self) || now.since(self.lease_renewed_at.get()) < counted)
    }

    /// Returns whether operations can be counted: no tenant is limited, or this node knows which
    /// nodes count them.
    pub(crate) fn can_count_operations(&self) -> bool {
        let counted = self.changeable().quota.is_some()
            && self
                .configuration()
                .is_some_and(|configuration| !configuration.tenants.limits.is_empty());
        !counted || self.membership_is_complete()
    }

    /// Returns since when the operations of most tenants cannot be counted on this node because no
    /// holder of their tokens responds. Other nodes can then serve this node's callers better.
    pub(crate) fn not_counted_since(&self) -> Option<Timestamp> {
        self.tokens.not_counted_since.get()
    }

    /// Returns whether at least one holder of the tenant's tokens may respond.
    fn has_responsive_holder(&self, tenant: &TenantName) -> bool {
        let Some(limit) = self.grant_limit(tenant) else {
            return true;
        };
        let holders = self.token_holders(tenant, limit.holders(MAX_HOLDERS));
        holders.iter().any(|holder| {
            holder.name == self.settings.name || self.reachability.may_ask(holder, self.now())
        })
    }
}

/// Grants one token held by this node, if one is available within `max_wait`.
pub(crate) fn grant(node: &Node, tenant: &TenantName, max_wait: Duration) -> TokenAnswer {
    let Some(limit) = node.grant_limit(tenant) else {
        return TokenAnswer::NotHeld;
    };
    let holders = limit.holders(MAX_HOLDERS);
    let held = node
        .token_holders(tenant, holders)
        .iter()
        .any(|holder| holder.name == node.settings.name);
    if !held {
        node.tokens.release(tenant);
    }
    if !held || !node.may_hold_tokens() {
        return TokenAnswer::NotHeld;
    }
    let from = node.tokens.replenished_from(tenant, node.started_at());
    let mut granting = node.tokens.granting.borrow_mut();
    granting.take(tenant, limit.share(holders), from, node.now(), max_wait)
}

/// Handles the answer to a request that may still be pending.
pub(crate) fn handle_answer(node: &Node, nonce: u64, peer: &str, answer: TokenAnswer) {
    reachability::note_answer(node, peer);
    let waiting = node.tokens.awaiting.borrow_mut().remove(&nonce);
    let unused = waiting.is_none_or(|waiting| waiting.send(answer).is_err());
    if unused {
        node.counters.count("tokens", "late");
    }
}

/// Takes a token for one operation of a tenant from the nearest holder that has one. Waits for a
/// token that becomes available within `max_wait`.
pub(crate) async fn take_token(
    node: &Rc<Node>,
    tenant: &TenantName,
    max_wait: Duration,
) -> Result<(), TokenDenial> {
    let Some(limit) = node.grant_limit(tenant) else {
        return Ok(());
    };
    let asked_at = node.now();
    await_fleet(node, asked_at + max_wait).await;
    let holders = node.token_holders(tenant, limit.holders(MAX_HOLDERS));
    let mut soonest: Option<(Timestamp, &Peer)> = None;
    for holder in holders.iter() {
        let mut exhausted_until = node.tokens.exhausted_until(tenant, holder);
        if exhausted_until <= node.now() {
            match request_token(node, tenant, holder, Duration::ZERO).await {
                Some(TokenAnswer::Granted { .. }) => return Ok(()),
                Some(TokenAnswer::Exhausted { retry_after_us }) => {
                    exhausted_until = node.now() + Duration::from_micros(retry_after_us);
                    node.tokens.note_exhausted(tenant, holder, exhausted_until);
                }
                Some(TokenAnswer::NotHeld) | None => continue,
            }
        }
        if soonest.is_none_or(|(until, _)| exhausted_until < until) {
            soonest = Some((exhausted_until, holder));
        }
    }
    let Some((until, holder)) = soonest else {
        return Err(TokenDenial::NotCounted);
    };
    let left = (asked_at + max_wait).since(node.now());
    let retry_after = until.since(node.now());
    if retry_after > left {
        return Err(TokenDenial::OverLimit { retry_after });
    }
    take_when_replenished(node, tenant, holder, left).await
}

/// Waits until this node knows the other nodes, which takes a moment after its start.
async fn await_fleet(node: &Rc<Node>, until: Timestamp) {
    while !node.membership_is_complete() && node.now() < until {
        sleep(FLEET_POLL_INTERVAL).await;
    }
}

/// Reserves a token that becomes available soon, and waits for it.
async fn take_when_replenished(
    node: &Rc<Node>,
    tenant: &TenantName,
    holder: &Peer,
    max_wait: Duration,
) -> Result<(), TokenDenial> {
    let asked_at = node.now();
    match request_token(node, tenant, holder, max_wait).await {
        Some(TokenAnswer::Granted { after_us }) => {
            let after = Duration::from_micros(after_us);
            sleep((asked_at + after).since(node.now())).await;
            if node.now() > asked_at + after + TOKEN_LIFE {
                node.counters.count("tokens", "expired");
                let retry_after = Duration::ZERO;
                return Err(TokenDenial::OverLimit { retry_after });
            }
            Ok(())
        }
        Some(TokenAnswer::Exhausted { retry_after_us }) => {
            let retry_after = Duration::from_micros(retry_after_us);
            let until = node.now() + retry_after;
            node.tokens.note_exhausted(tenant, holder, until);
            Err(TokenDenial::OverLimit { retry_after })
        }
        Some(TokenAnswer::NotHeld) | None => Err(TokenDenial::NotCounted),
    }
}

/// Requests a token from one holder. Returns `None` if it does not answer, or too late for its
/// answer to be used.
async fn request_token(
    node: &Rc<Node>,
    tenant: &TenantName,
    holder: &Peer,
    max_wait: Duration,
) -> Option<TokenAnswer> {
    if holder.name == node.settings.name {
        return Some(grant(node, tenant, max_wait));
    }
    let now = node.now();
    if !node.reachability.may_ask(holder, now) {
        return None;
    }
    let (nonce, mut answer) = node.tokens.await_answer();
    let request = PeerMessage::AskToken {
        nonce,
        tenant: tenant.clone(),
        patience_us: u64::try_from(max_wait.as_micros()).unwrap_or(u64::MAX),
    };
    node.tokens.send(request.clone(), holder.address);
    let mut received = timeout(REPEAT_AFTER, &mut answer).await;
    if received.is_err() {
        node.counters.count("tokens", "asked_again");
        node.tokens.send(request, holder.address);
        received = timeout(ANSWER_TIMEOUT - REPEAT_AFTER, &mut answer).await;
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

/// Checks whether the holders of tenants' tokens respond. Called periodically.
pub(crate) fn check_holders(node: &Node) {
    let now = node.now();
    let tokens = &node.tokens;
    if now.since(tokens.checked_at.get()) < HOLDER_CHECK_INTERVAL || !node.membership_is_complete()
    {
        return;
    }
    tokens.checked_at.set(now);
    tokens.remove_expired(now);
    let Some(configuration) = node.configuration() else {
        return;
    };
    let tenants = configuration.tenants.limits.keys();
    let uncounted = tenants
        .filter(|tenant| !node.has_responsive_holder(tenant))
        .count();
    if uncounted * 2 <= configuration.tenants.limits.len() {
        tokens.not_counted_since.set(None);
    } else if tokens.not_counted_since.get().is_none() {
        tokens.not_counted_since.set(Some(now));
        node.log("limits_not_counted", &[("tenants", uncounted.into())]);
    }
}
