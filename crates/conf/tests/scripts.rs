//! Runs the scripts in `tests/scripts`, which load configurations from files in memory.

use std::error::Error;
use std::fmt::{Display, Write};

use conf::admin::FileText;
use conf::load::{self, Loaded, Problems};
use conf::merge::Override;
use conf::{ServiceConfig, diff};

const SERVICE: &str = include_str!("data/service.toml");
const SETTINGS: &str = include_str!("data/settings.toml");

#[test]
fn scripts() -> Result<(), Box<dyn Error>> {
    for entry in std::fs::read_dir("tests/scripts")? {
        goldenscript::run(&mut Runner::default(), entry?.path())?;
    }
    Ok(())
}

#[derive(Default)]
struct Runner {
    files: Vec<FileText>,
    baseline: ServiceConfig,
}

#[derive(goldenscript::Command)]
enum Command {
    /// Replaces the files by one empty file.
    Empty,
    /// Replaces the files by a valid service configuration.
    Service,
    /// Replaces the files by valid settings.
    Settings,
    /// Adds a file with this name and text.
    File(String, String),
    /// Loads the files as a service configuration and prints its warnings and overrides, or its problems.
    LoadService,
    /// Loads the files as settings and prints their warnings and overrides, or their problems.
    LoadSettings,
    /// Prints the values of a key with their origins.
    Values(String),
    /// Stores the service configuration for a later `diff`.
    Keep,
    /// Prints the differences between the stored service configuration and the files.
    Diff,
}

impl goldenscript::Runner for Runner {
    type Command = Command;

    fn run(
        &mut self,
        command: &Command,
        _: &goldenscript::Context,
    ) -> Result<String, Box<dyn Error>> {
        let files = self.files.clone();
        match command {
            Command::Empty => self.set_file(""),
            Command::Service => self.set_file(SERVICE),
            Command::Settings => self.set_file(SETTINGS),
            Command::File(name, text) => self.files.push(FileText {
                name: name.clone().into(),
                text: text.clone().into(),
            }),
            Command::LoadService => return Ok(report(load::service_from_files(files))),
            Command::LoadSettings => return Ok(report(load::settings_from_files(files))),
            Command::Values(key) => return Ok(self.values(key)?),
            Command::Keep => self.baseline = self.service()?.value,
            Command::Diff => {
                return Ok(lines(diff::service(&self.baseline, &self.service()?.value)));
            }
        }
        Ok(String::new())
    }
}

impl Runner {
    fn set_file(&mut self, text: &'static str) {
        self.files = vec![FileText {
            name: "00.toml".into(),
            text: text.into(),
        }];
    }

    fn service(&self) -> Result<Loaded<ServiceConfig>, String> {
        load::service_from_files(self.files.clone()).map_err(text)
    }

    fn values(&self, key: &str) -> Result<String, String> {
        let loaded = self.service()?;
        let values = loaded.values.iter();
        Ok(lines(values.filter(|value| value.path.key == key).map(
            |value| {
                let origin = value.origin.as_ref().map_or("default".to_owned(), text);
                format!("{} = {} # {origin}", value.path, value.value)
            },
        )))
    }
}

fn report<T>(loaded: Result<Loaded<T>, Problems>) -> String {
    match loaded {
        Ok(loaded) => lines(loaded.warnings) + &lines(loaded.overrides.iter().map(override_line)),
        Err(problems) => problems.to_string(),
    }
}

fn override_line(value_override: &Override) -> String {
    let display_text = |value: &Option<_>| value.as_ref().map_or("item".to_owned(), text);
    let earlier = display_text(&value_override.earlier_value);
    let later = match &value_override.later_value {
        Some(value) => text(value),
        None => "removed".to_owned(),
    };
    format!(
        "{}: {earlier} ({}) -> {later} ({})",
        value_override.path, value_override.earlier_origin, value_override.later_origin
    )
}

fn lines(items: impl IntoIterator<Item = impl Display>) -> String {
    items.into_iter().fold(String::new(), |mut all, item| {
        let _ = writeln!(all, "{item}");
        all
    })
}

fn text(item: impl Display) -> String {
    item.to_string()
}
