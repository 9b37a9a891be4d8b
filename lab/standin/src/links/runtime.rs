//! The threads shared by all links of a process.
//!
//! Links run on separate threads so that a busy caller or stand-in does not add
//! to the latency of a link.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::runtime::{Builder, Handle};

/// Number of link threads.
const THREADS: usize = 3;

static HANDLES: OnceLock<Vec<Handle>> = OnceLock::new();
static NEXT: AtomicUsize = AtomicUsize::new(0);

/// Returns the runtime handle of a thread, in round-robin order. The first call
/// starts all threads.
pub(super) fn next_handle() -> std::io::Result<Handle> {
    let handles = match HANDLES.get() {
        Some(handles) => handles,
        None => {
            let started = (0..THREADS).map(start).collect::<Result<Vec<_>, _>>()?;
            HANDLES.get_or_init(|| started)
        }
    };
    let turn = NEXT.fetch_add(1, Ordering::Relaxed);
    Ok(handles[turn % handles.len()].clone())
}

fn start(index: usize) -> std::io::Result<Handle> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let handle = runtime.handle().clone();
    std::thread::Builder::new()
        .name(format!("link-{index}"))
        .spawn(move || runtime.block_on(std::future::pending::<()>()))?;
    Ok(handle)
}
