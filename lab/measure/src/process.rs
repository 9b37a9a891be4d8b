//! Reads the processor time, memory and thread count of a process, and the load of the
//! machine, from `/proc`. Linux only.

use std::io;
use std::path::PathBuf;
use std::time::Duration;

/// Clock ticks per second in `/proc/PID/stat`; 100 on all current Linux systems.
const TICKS_PER_SECOND: f64 = 100.0;
/// Number of fields in `/proc/PID/stat` between the process name and the user time, which
/// the system time follows.
const FIELDS_BEFORE_TIMES: usize = 11;

/// Selects the process to read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Process {
    /// The calling process.
    Own,
    /// The process with this ID.
    Other(u32),
}

/// Resource usage of a process at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Reading {
    /// User and system processor time since the start of the process.
    pub processor: Duration,
    /// Resident memory in bytes.
    pub resident_bytes: u64,
    /// Number of threads.
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

    /// Reads the resource usage of the process.
    ///
    /// # Errors
    /// When there is no such process, or its `/proc` files have an unexpected format.
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

/// Parses the processor time from the text of a `stat` file.
pub fn parse_processor(stat: &str) -> Option<Duration> {
    // The process name in parentheses may itself contain spaces and parentheses.
    let (_, fields) = stat.rsplit_once(") ")?;
    let mut times = fields.split_whitespace().skip(FIELDS_BEFORE_TIMES);
    let user: u64 = times.next()?.parse().ok()?;
    let system: u64 = times.next()?.parse().ok()?;
    let seconds = (user + system) as f64 / TICKS_PER_SECOND;
    Duration::try_from_secs_f64(seconds).ok()
}

/// Parses the number in the line of a `status` or `meminfo` file that starts with `field`.
pub fn parse_status(status: &str, field: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix(field))?;
    line.split_whitespace().next()?.parse().ok()
}

/// Returns the machine's load average over one minute; zero when it cannot be read.
pub fn load_average() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let first = text.split_whitespace().next();
    first.and_then(|load| load.parse().ok()).unwrap_or(0.0)
}

/// Returns half of the machine's memory in bytes, the maximum that a measurement may use;
/// `u64::MAX` when the total cannot be read.
pub fn half_of_memory() -> u64 {
    let text = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    parse_status(&text, "MemTotal:").map_or(u64::MAX, |kilobytes| kilobytes * 1_024 / 2)
}
