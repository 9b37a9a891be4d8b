//! state
