//! Tests of the request machine.
