//! The links as the network of the database stand-ins.

use super::zones::ZoneLinks;
use crate::database::ZoneNetwork;
use std::time::Duration;

impl ZoneNetwork for ZoneLinks {
    fn delay(&self, from_zone: &str, to_zone: &str) -> Duration {
        Self::delay(self, from_zone, to_zone)
    }

    fn is_cut(&self, from_zone: &str, to_zone: &str) -> bool {
        Self::is_cut(self, from_zone, to_zone)
    }
}
