//! Logging to standard error, as text or JSON objects.

use anyhow::{Context, Result};
use hookpoint::settings::{LogFormat, LogLevel, LogSection};
use log::LevelFilter;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Logger, Root};
use log4rs::encode::Encode;
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::pattern::PatternEncoder;

/// Text format of a line: UTC time, level and message.
const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.6fZ)(utc)} {l} {m}{n}";
/// Log target of the HTTP server's own lines, which have no component prefix; limited to
/// warnings.
const HTTP_SERVER_TARGET: &str = "actix_server";

/// Initializes logging for this process.
///
/// # Errors
/// Fails if logging is already initialized.
pub fn start(section: &LogSection) -> Result<()> {
    let encoder: Box<dyn Encode> = match section.format {
        LogFormat::Text => Box::new(PatternEncoder::new(PATTERN)),
        LogFormat::Json => Box::new(JsonEncoder::new()),
    };
    let console = ConsoleAppender::builder()
        .target(Target::Stderr)
        .encoder(encoder)
        .build();
    let level = match section.level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
    };
    let config = Config::builder()
        .appender(Appender::builder().build("console", Box::new(console)))
        .logger(Logger::builder().build(HTTP_SERVER_TARGET, LevelFilter::Warn))
        .build(Root::builder().appender("console").build(level))
        .context("logging cannot be configured")?;
    log4rs::init_config(config).context("logging cannot be initialized")?;
    Ok(())
}
