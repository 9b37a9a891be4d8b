//! Runs one case of the review: `review-standin CASE RECORD`, from the root of the repository.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod client;
mod database;
mod empty_primary;
mod http;
mod lost_commits;
mod moved_route;
mod node;
mod promotion;
mod record;
mod store;
mod unknown_prepared;
mod world;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use lost_commits::Between;
use record::Record;

/// Time after which a case is given up.
const LIMIT: Duration = Duration::from_secs(110);

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(file)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-standin CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(record) = Record::create(&PathBuf::from(file)) else {
        eprintln!("the record cannot be written");
        return ExitCode::from(2);
    };
    let record = Arc::new(record);
    let Ok(folder) = world::temporary_folder() else {
        return ExitCode::from(2);
    };
    let root = std::env::current_dir().unwrap_or_default();
    record.say(format!("case {case}, trouble {trouble}"));
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build();
    let Ok(runtime) = runtime else {
        return ExitCode::from(2);
    };
    let verdict = runtime.block_on(async {
        let playing = async {
            match case.as_str() {
                "empty-primary" => empty_primary::run(trouble, &root, &folder, &record).await,
                "moved-route" => moved_route::run(trouble, &root, &folder, &record).await,
                "resumed-replicas" => {
                    lost_commits::run(Between::CoordinatorKilled, trouble, &root, &folder, &record)
                        .await
                }
                "restarted-replica" => {
                    lost_commits::run(Between::ReplicaCrashes, trouble, &root, &folder, &record)
                        .await
                }
                "unknown-prepared" => unknown_prepared::run(trouble, &root, &folder, &record).await,
                _ => Verdict::NotRun,
            }
        };
        let verdict = tokio::time::timeout(LIMIT, playing).await;
        verdict.unwrap_or(Verdict::NotRun)
    });
    runtime.shutdown_background();
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&folder);
    } else {
        println!("kept: {}", folder.display());
    }
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held", 0),
        Verdict::Broken => ("the rule was broken", 1),
        Verdict::NotRun => ("the case could not run", 2),
    };
    record.say(text);
    ExitCode::from(code)
}
