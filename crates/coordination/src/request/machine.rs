//! The machine itself.

use hookpoint_state::Timestamp;

use crate::request::{RequestAction, RequestEvent, RequestProfile};
use crate::terms::GroupView;

/// One transaction's state.
#[derive(Clone, Debug)]
pub struct RequestMachine {
    #[allow(dead_code)]
    profile: RequestProfile,
}

impl RequestMachine {
    /// A machine for a request that has just arrived.
    pub fn new(profile: RequestProfile) -> Self {
        Self { profile }
    }

    /// Takes an event and appends the actions it causes to `actions`.
    pub fn handle(
        &mut self,
        _now: Timestamp,
        _view: &GroupView,
        _event: RequestEvent,
        _actions: &mut Vec<RequestAction>,
    ) {
    }
}
