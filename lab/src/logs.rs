//! Logging of the laboratory to standard error.

use std::str::FromStr;

use anyhow::Context;
use log::LevelFilter;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Logger, Root};
use log4rs::encode::pattern::PatternEncoder;

/// Format of a line: local time with milliseconds, level and message.
const PATTERN: &str = "{d(%H:%M:%S%.3f)} {l} {m}{n}";
/// Environment variable that sets the minimum level.
pub const LEVEL_VARIABLE: &str = "HOOKPOINT_LAB_LOG";

/// Initializes logging at the level in [`LEVEL_VARIABLE`], or for errors only if it is not
/// set.
///
/// # Errors
/// Fails if the level is unknown or logging is already initialized.
pub fn start() -> anyhow::Result<()> {
    let level = match std::env::var(LEVEL_VARIABLE) {
        Ok(level) => LevelFilter::from_str(&level).context("unknown log level")?,
        Err(_) => LevelFilter::Error,
    };
    let encoder = Box::new(PatternEncoder::new(PATTERN));
    let console = ConsoleAppender::builder()
        .target(Target::Stderr)
        .encoder(encoder)
        .build();
    let config = Config::builder()
        .appender(Appender::builder().build("console", Box::new(console)))
        // actix logs an error for each watch of the stand-in whose client disconnects.
        .logger(Logger::builder().build("actix_http", LevelFilter::Off))
        .build(Root::builder().appender("console").build(level))?;
    log4rs::init_config(config)?;
    Ok(())
}
