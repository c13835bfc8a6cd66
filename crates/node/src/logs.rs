//! Sets up the logger, and writes the reducer's log lines.

use std::sync::Arc;

use conf::settings::Log;
use reducer::{Component, Level};
use spdlog::formatter::{FullFormatter, JsonFormatter};
use spdlog::sink::StdStreamSink;
use spdlog::{LevelFilter, Logger};

use crate::error::Error;

/// Installs the process's logger, which writes one line per log record to standard error.
///
/// # Errors
/// Fails if the level is unknown or the logger cannot be built.
pub fn install(settings: &Log) -> Result<(), Error> {
    let level = level_filter(&settings.level)?;
    let sink = StdStreamSink::builder().stderr();
    let sink = match settings.json {
        true => sink.formatter(JsonFormatter::new()).build_arc(),
        false => sink.formatter(FullFormatter::new()).build_arc(),
    };
    let sink = sink.map_err(setup_error)?;
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(level)
        .flush_level_filter(LevelFilter::All)
        .build()
        .map_err(setup_error)?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

fn setup_error(error: impl std::fmt::Display) -> Error {
    Error::Setup {
        what: "logs",
        reason: error.to_string(),
    }
}

fn level_filter(name: &str) -> Result<LevelFilter, Error> {
    let level = match name {
        "error" => spdlog::Level::Error,
        "warn" => spdlog::Level::Warn,
        "info" => spdlog::Level::Info,
        "debug" => spdlog::Level::Debug,
        "trace" => spdlog::Level::Trace,
        _ => return Err(setup_error(format!("unknown level {name:?}"))),
    };
    Ok(LevelFilter::MoreSevereEqual(level))
}

/// Writes a log line of the reducer.
pub fn write(level: Level, component: Component, text: &str) {
    let prefix = prefix(component);
    match level {
        Level::Error => spdlog::error!("{prefix}: {text}"),
        Level::Warn => spdlog::warn!("{prefix}: {text}"),
        Level::Info => spdlog::info!("{prefix}: {text}"),
        Level::Debug => spdlog::debug!("{prefix}: {text}"),
    }
}

fn prefix(component: Component) -> &'static str {
    match component {
        Component::Quorum => "quorum",
        Component::Fleet => "fleet",
        Component::Route => "route",
        Component::Admit => "admit",
        Component::Plan => "plan",
        Component::Http => "http",
        Component::Admin => "admin",
        Component::Ledger => "ledger",
    }
}
