//! Runs one case: `review-case CASE FOLDER`, at the root of the repository. Exits with 1 if the rule
//! was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 it runs without the
//! disruption.

mod cases;
mod client;
mod database;
mod deployment;
mod http;
mod mixed;
mod node;
mod record;
mod store;

use std::path::PathBuf;
use std::process::exit;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::record::Record;

/// Time after which a case is given up.
const TIME_LIMIT: Duration = Duration::from_secs(112);

/// How a case ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Held,
    Broken,
    NotRun,
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-case CASE FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let root = std::env::current_dir().expect("a working directory");
    let record = Arc::new(Record::new());
    if case != "mixed" {
        thread::spawn(|| {
            thread::sleep(TIME_LIMIT);
            eprintln!("the case took too long");
            node::kill_all();
            exit(2);
        });
    }
    let outcome = cases::run(&case, &root, trouble, &record);
    record.note(format!("outcome: {outcome:?}"));
    record.write(&PathBuf::from(folder).join("record.txt"));
    println!("{case}: {outcome:?}");
    exit(match outcome {
        Outcome::Held => 0,
        Outcome::Broken => 1,
        Outcome::NotRun => 2,
    });
}
