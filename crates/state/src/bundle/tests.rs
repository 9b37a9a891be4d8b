//! Tests of the bundle.
