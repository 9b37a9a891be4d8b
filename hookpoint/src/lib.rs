//! hookpoint library
