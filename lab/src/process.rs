//! What a process uses, read from the system's own accounts.

use std::time::Duration;

use anyhow::{Context, anyhow};
use serde::Serialize;

/// Clock ticks a second in the accounts, fixed on Linux.
const TICKS_PER_SECOND: u64 = 100;
/// Places of the processor times behind the name in `/proc/PID/stat`.
const USER_TICKS_FIELD: usize = 11;
const SYSTEM_TICKS_FIELD: usize = 12;

/// A reading of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ProcessUse {
    /// Resident memory in bytes.
    pub resident_bytes: u64,
    /// Processor time so far, of all threads.
    pub processor_time: Duration,
}

impl ProcessUse {
    /// Reads the process `pid`.
    ///
    /// # Errors
    /// When there is no such process, or the system keeps no such accounts.
    pub fn read(pid: u32) -> anyhow::Result<Self> {
        let read = |name: &str| {
            let path = format!("/proc/{pid}/{name}");
            std::fs::read_to_string(&path).with_context(|| format!("{path} cannot be read"))
        };
        Ok(Self {
            resident_bytes: resident_of(&read("status")?)?,
            processor_time: processor_time_of(&read("stat")?)?,
        })
    }

    /// Reads this process.
    ///
    /// # Errors
    /// When the system keeps no such accounts.
    pub fn own() -> anyhow::Result<Self> {
        Self::read(std::process::id())
    }
}

fn resident_of(status: &str) -> anyhow::Result<u64> {
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    let kilobytes: u64 = kilobytes
        .ok_or_else(|| anyhow!("no resident memory in the accounts"))?
        .parse()?;
    Ok(kilobytes * 1_024)
}

fn processor_time_of(stat: &str) -> anyhow::Result<Duration> {
    let (_, fields) = stat
        .rsplit_once(") ")
        .ok_or_else(|| anyhow!("no name in the accounts"))?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |index: usize| -> anyhow::Result<u64> {
        let field = fields.get(index);
        Ok(field
            .ok_or_else(|| anyhow!("no processor time in the accounts"))?
            .parse()?)
    };
    let total = ticks(USER_TICKS_FIELD)? + ticks(SYSTEM_TICKS_FIELD)?;
    Ok(Duration::from_millis(total * 1_000 / TICKS_PER_SECOND))
}
