//! Logs of the laboratory, on standard error.

use std::str::FromStr;

use anyhow::Context;
use log::LevelFilter;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Logger, Root};
use log4rs::encode::pattern::PatternEncoder;

/// One line a message, with milliseconds.
const PATTERN: &str = "{d(%H:%M:%S%.3f)} {l} {m}{n}";
/// Variable of the environment that names the least level.
pub const LEVEL_VARIABLE: &str = "HOOKPOINT_LAB_LOG";

/// Starts the logs at the level that the environment names; none without a name.
///
/// # Errors
/// When the level is none or logs have been started before.
pub fn start() -> anyhow::Result<()> {
    let level = match std::env::var(LEVEL_VARIABLE) {
        Ok(level) => LevelFilter::from_str(&level).context("no such log level")?,
        Err(_) => LevelFilter::Error,
    };
    let encoder = Box::new(PatternEncoder::new(PATTERN));
    let console = ConsoleAppender::builder()
        .target(Target::Stderr)
        .encoder(encoder)
        .build();
    let config = Config::builder()
        .appender(Appender::builder().build("console", Box::new(console)))
        // The stand-in's watches end with their watchers, which its library calls errors.
        .logger(Logger::builder().build("actix_http", LevelFilter::Off))
        .build(Root::builder().appender("console").build(level))?;
    log4rs::init_config(config)?;
    Ok(())
}
