//! Checks of a merged configuration: ranges, references between items, unique names and addresses, and timing.

mod service;
mod settings;

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::Serialize;
use serde_json::Value;

use crate::keys::{self, Section, Shape};
use crate::problem::{KeyPath, Problem};
use crate::{Name, ServiceConfig, Settings};

/// Returns all problems of a service configuration.
pub fn service(config: &ServiceConfig) -> Vec<Problem> {
    let mut checker = Checker::default();
    checker.check_values(keys::SERVICE, config);
    checker.check_service(config);
    checker.problems
}

/// Returns all problems of the settings of an instance.
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

    fn error_unless(&mut self, condition: bool, path: KeyPath, message: impl Into<String>) {
        if !condition {
            self.error(path, message);
        }
    }

    /// Checks every value against the kind and range of its key.
    fn check_values<T: Serialize>(&mut self, sections: &'static [Section], config: &T) {
        let config_json = serde_json::to_value(config).unwrap_or_default();
        for section in sections {
            let value = &config_json[section.name];
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

    /// Checks that every item of a list has a name, and that the names are unique and contain no whitespace, control or
    /// `reserved` characters.
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
            if let Some(character) = forbidden_character(name, reserved) {
                self.error(
                    path.clone(),
                    format!("the name contains the forbidden character {character:?}"),
                );
            }
            if !seen.insert(name) {
                self.error(path, "two items have this name");
            }
        }
    }

    /// Checks that every name is one of `known`, and that no name is listed twice.
    fn check_references(&mut self, path: &KeyPath, kind: &str, names: &[Name], known: &[&Name]) {
        self.check_unique(path, names);
        for name in names.iter().filter(|name| !known.contains(name)) {
            let message = match nearest_name(name, known) {
                Some(nearest) => format!("unknown {kind} `{name}`; the nearest is `{nearest}`"),
                None => format!("unknown {kind} `{name}`"),
            };
            self.error(path.clone(), message);
        }
    }

    fn check_unique(&mut self, path: &KeyPath, names: &[Name]) {
        let mut seen = BTreeSet::new();
        for name in names.iter().filter(|name| !seen.insert(*name)) {
            self.error(path.clone(), format!("`{name}` is listed twice"));
        }
    }

    /// Checks that an availability zone is set. Warns about a zone that no other item is in, which may be a typing
    /// error.
    fn check_availability_zone(
        &mut self,
        path: &KeyPath,
        zone: &Name,
        other_zones_exist: bool,
        is_used_elsewhere: impl Fn(&Name) -> bool,
    ) {
        let path = path.key("availability_zone");
        if zone.is_empty() {
            self.error(path, "is missing");
        } else if other_zones_exist && !is_used_elsewhere(zone) {
            self.warning(
                path,
                format!("no other item is in availability zone `{zone}`"),
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
    let is_forbidden = |c: &char| c.is_whitespace() || c.is_control() || reserved.contains(c);
    name.chars().find(is_forbidden)
}

fn nearest_name<'a>(name: &Name, known: &[&'a Name]) -> Option<&'a Name> {
    let by_distance = |known: &&&Name| strsim::osa_distance(name, known);
    known.iter().min_by_key(by_distance).copied()
}
