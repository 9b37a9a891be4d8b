//! Log positions in PostgreSQL's text format.

use std::fmt;

/// Log sequence number: a byte position in a database's write-ahead log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Lsn(pub u64);

/// Position at which the log of a new group starts.
pub const FIRST_LSN: Lsn = Lsn(0x0300_0000);

/// Size of one log segment in bytes, the unit of `pg_walfile_name`.
const SEGMENT_BYTES: u64 = 16 * 1024 * 1024;

impl fmt::Display for Lsn {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:X}/{:X}", self.0 >> 32, self.0 & 0xFFFF_FFFF)
    }
}

/// Returns the name of the log segment that contains the byte before `position`
/// on `timeline`.
pub fn segment_name(timeline: u64, position: Lsn) -> String {
    let segment = position.0.saturating_sub(1) / SEGMENT_BYTES;
    let segments_per_file_id = (1_u64 << 32) / SEGMENT_BYTES;
    format!(
        "{timeline:08X}{:08X}{:08X}",
        segment / segments_per_file_id,
        segment % segments_per_file_id
    )
}
