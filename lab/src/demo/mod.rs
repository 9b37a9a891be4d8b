//! `hookpoint-lab demo`: a whole deployment with its workload and faults.

pub mod baseline;
pub mod report;
