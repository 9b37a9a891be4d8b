//! What the system tells of a process: processor time, memory and the load around it.
//!
//! Read from `/proc`, so only on Linux. A process other than this one is named by its
//! number.

use std::io;
use std::path::PathBuf;
use std::time::Duration;

/// Ticks of `/proc/PID/stat` in a second; the same on every Linux of today.
const TICKS_PER_SECOND: f64 = 100.0;
/// Fields of `/proc/PID/stat` behind the name, before user and system time.
const FIELDS_BEFORE_TIMES: usize = 11;

/// A process to read about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Process {
    /// The one that asks.
    Own,
    /// The one of that number.
    Other(u32),
}

/// One reading.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Reading {
    /// Processor time since the start of the process, user and system.
    pub processor: Duration,
    /// Resident memory in bytes.
    pub resident_bytes: u64,
    /// Threads.
    pub threads: u64,
}

impl Process {
    fn file(self, name: &str) -> PathBuf {
        let process = match self {
            Process::Own => "self".to_owned(),
            Process::Other(number) => number.to_string(),
        };
        PathBuf::from("/proc").join(process).join(name)
    }

    /// Reads what the process has used.
    ///
    /// # Errors
    /// When there is no such process, or the system tells it in another form.
    pub fn read(self) -> io::Result<Reading> {
        let stat = std::fs::read_to_string(self.file("stat"))?;
        let status = std::fs::read_to_string(self.file("status"))?;
        let malformed = || io::Error::from(io::ErrorKind::InvalidData);
        Ok(Reading {
            processor: parse_processor(&stat).ok_or_else(malformed)?,
            resident_bytes: parse_status(&status, "VmRSS:").ok_or_else(malformed)? * 1_024,
            threads: parse_status(&status, "Threads:").ok_or_else(malformed)?,
        })
    }
}

/// Processor time in the text of a `stat` file.
pub fn parse_processor(stat: &str) -> Option<Duration> {
    // The name in parentheses may hold blanks and parentheses of its own.
    let (_, fields) = stat.rsplit_once(") ")?;
    let mut times = fields.split_whitespace().skip(FIELDS_BEFORE_TIMES);
    let user: u64 = times.next()?.parse().ok()?;
    let system: u64 = times.next()?.parse().ok()?;
    let seconds = (user + system) as f64 / TICKS_PER_SECOND;
    Duration::try_from_secs_f64(seconds).ok()
}

/// The number of a line of a `status` file.
pub fn parse_status(status: &str, field: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix(field))?;
    line.split_whitespace().next()?.parse().ok()
}

/// The machine's load average over one minute; zero where it cannot be read.
pub fn load_average() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let first = text.split_whitespace().next();
    first.and_then(|load| load.parse().ok()).unwrap_or(0.0)
}

/// Half of the machine's memory in bytes, the most that a measurement may take.
pub fn half_of_memory() -> u64 {
    let text = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    parse_status(&text, "MemTotal:").map_or(u64::MAX, |kilobytes| kilobytes * 1_024 / 2)
}
