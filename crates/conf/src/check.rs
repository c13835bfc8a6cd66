//! Checks of a merged configuration: ranges, references, identities and timings.

mod service;
mod settings;

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::Serialize;
use serde_json::Value;

use crate::keys::{self, Section, Shape};
use crate::problem::{KeyPath, Problem};
use crate::{Name, ServiceConfig, Settings};

/// Checks a service configuration and returns everything found wrong.
pub fn service(config: &ServiceConfig) -> Vec<Problem> {
    let mut checker = Checker::default();
    checker.check_values(keys::SERVICE, config);
    checker.check_service(config);
    checker.problems
}

/// Checks the settings of an instance and returns everything found wrong.
pub fn settings(settings: &Settings) -> Vec<Problem> {
    let mut checker = Checker::default();
    checker.check_values(keys::SETTINGS, settings);
    checker.check_settings(settings);
    checker.problems
}

#[derive(Default)]
struct Checker {
    problems: Vec<Problem>,
}

impl Checker {
    fn error(&mut self, path: KeyPath, message: impl Into<String>) {
        self.problems.push(Problem::error(path, message));
    }

    fn warning(&mut self, path: KeyPath, message: impl Into<String>) {
        self.problems.push(Problem::warning(path, message));
    }

    fn error_unless(&mut self, holds: bool, path: KeyPath, message: impl Into<String>) {
        if !holds {
            self.error(path, message);
        }
    }

    /// Checks every value against the kind of its key.
    fn check_values<T: Serialize>(&mut self, sections: &'static [Section], config: &T) {
        let whole = serde_json::to_value(config).unwrap_or_default();
        for section in sections {
            let value = &whole[section.name];
            match section.shape {
                Shape::Table => self.check_item(section, &KeyPath::section(section.name), value),
                Shape::List { id } => {
                    for item in value.as_array().into_iter().flatten() {
                        let name = Name::new(item[id].as_str().unwrap_or_default());
                        self.check_item(section, &KeyPath::item(section.name, &name), item);
                    }
                }
            }
        }
    }

    fn check_item(&mut self, section: &'static Section, path: &KeyPath, item: &Value) {
        for key in section.keys {
            let value = &item[key.name];
            if let Err(message) = key.kind.validate(value) {
                self.error(path.key(key.name), format!("{message}, but is {value}"));
            }
        }
    }

    /// Checks the names of a list: present, printable and unique.
    fn check_names<'a>(
        &mut self,
        section: &'static str,
        names: impl Iterator<Item = &'a Name>,
        reserved: &[char],
    ) {
        let mut seen = BTreeSet::new();
        for name in names {
            let path = KeyPath::item(section, name);
            if name.is_empty() {
                self.error(path, "an item has no name");
                continue;
            }
            if let Some(found) = forbidden_character(name, reserved) {
                self.error(path.clone(), format!("the name contains {found:?}"));
            }
            if !seen.insert(name) {
                self.error(path, "the name is used twice");
            }
        }
    }

    /// Checks that every name is known, and that none is written twice.
    fn check_references(&mut self, path: &KeyPath, what: &str, names: &[Name], known: &[&Name]) {
        self.check_unique(path, names);
        for name in names.iter().filter(|name| !known.contains(name)) {
            let message = match nearest(name, known) {
                Some(nearest) => format!("unknown {what} `{name}`; the nearest is `{nearest}`"),
                None => format!("unknown {what} `{name}`"),
            };
            self.error(path.clone(), message);
        }
    }

    fn check_unique(&mut self, path: &KeyPath, names: &[Name]) {
        let mut seen = BTreeSet::new();
        for name in names.iter().filter(|name| !seen.insert(*name)) {
            self.error(path.clone(), format!("`{name}` is written twice"));
        }
    }

    /// Checks an availability zone. One that only this item names may be a typing error.
    fn check_availability_zone(
        &mut self,
        path: &KeyPath,
        zone: &Name,
        several: bool,
        known: impl Fn(&Name) -> bool,
    ) {
        let path = path.key("availability_zone");
        if zone.is_empty() {
            self.error(path, "is missing");
        } else if several && !known(zone) {
            self.warning(
                path,
                format!("availability zone `{zone}` is named nowhere else"),
            );
        }
    }

    fn check_address(&mut self, path: &KeyPath, text: &Name) -> Option<SocketAddr> {
        let address = text.parse::<SocketAddr>().ok();
        let address = address.filter(|address| address.port() != 0);
        let message = match text.is_empty() {
            true => "is missing; it must be an IP address and port".to_owned(),
            false => format!("must be an IP address and port, but is `{text}`"),
        };
        self.error_unless(address.is_some(), path.clone(), message);
        address
    }
}

fn forbidden_character(name: &str, reserved: &[char]) -> Option<char> {
    let forbidden = |c: &char| c.is_whitespace() || c.is_control() || reserved.contains(c);
    name.chars().find(forbidden)
}

fn nearest<'a>(name: &Name, known: &[&'a Name]) -> Option<&'a Name> {
    let by_distance = |known: &&&Name| strsim::osa_distance(name, known);
    known.iter().min_by_key(by_distance).copied()
}
