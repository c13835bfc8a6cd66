//! The difference between two service configurations, by item and field.

use std::fmt;

use serde_json::Value;

use crate::keys::{self, Key, Section, Shape};
use crate::{KeyPath, Map, Name, ServiceConfig};

/// A changed item, or a changed order of the items of a section.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Path of the item or section.
    pub path: KeyPath,
    /// How the item or section changed.
    pub kind: ChangeKind,
}

/// How an item or a section changed.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeKind {
    /// The item was added, with these values.
    Added(Vec<FieldChange>),
    /// The item was removed.
    Removed,
    /// These fields of the item have new values.
    Changed(Vec<FieldChange>),
    /// The items that both configurations have are in another order. Only ranks are compared in the order written; the
    /// other lists are sorted by name first.
    Reordered {
        /// Names in the old order.
        from: Vec<Name>,
        /// Names in the new order.
        to: Vec<Name>,
    },
}

/// A changed field of an item.
#[derive(Clone, Debug, PartialEq)]
pub struct FieldChange {
    /// The key.
    pub key: &'static str,
    /// The old value. `None` for an added item.
    pub from: Option<Value>,
    /// The new value.
    pub to: Value,
}

/// Returns the differences between two service configurations.
pub fn service(from: &ServiceConfig, to: &ServiceConfig) -> Vec<Change> {
    let from = serde_json::to_value(from.canonical()).unwrap_or_default();
    let to = serde_json::to_value(to.canonical()).unwrap_or_default();
    let mut changes = Vec::new();
    for section in keys::SERVICE {
        if let Shape::List { id } = section.shape {
            let from = index_items(&from[section.name], id);
            let to = index_items(&to[section.name], id);
            compare_items(&mut changes, section, &from, &to);
            compare_order(&mut changes, section, &from, &to);
        }
    }
    changes
}

impl fmt::Display for Change {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = &self.path;
        match &self.kind {
            ChangeKind::Added(fields) => {
                write!(formatter, "+ {path}")?;
                fields
                    .iter()
                    .try_for_each(|field| write!(formatter, "\n    {field}"))
            }
            ChangeKind::Removed => write!(formatter, "- {path}"),
            ChangeKind::Changed(fields) => {
                write!(formatter, "~ {path}")?;
                fields
                    .iter()
                    .try_for_each(|field| write!(formatter, "\n    {field}"))
            }
            ChangeKind::Reordered { from, to } => {
                write!(
                    formatter,
                    "~ {path}\n    order: {} -> {}",
                    from.join(", "),
                    to.join(", ")
                )
            }
        }
    }
}

impl fmt::Display for FieldChange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.from {
            Some(from) => write!(formatter, "{}: {from} -> {}", self.key, self.to),
            None => write!(formatter, "{}: {}", self.key, self.to),
        }
    }
}

/// The items of a section, by name, and their names in order.
struct Items<'a> {
    names: Vec<Name>,
    by_name: Map<Name, &'a Value>,
}

fn index_items<'a>(items: &'a Value, id: &str) -> Items<'a> {
    let items = items.as_array().into_iter().flatten();
    let name = |item: &Value| Name::new(item[id].as_str().unwrap_or_default());
    Items {
        names: items.clone().map(name).collect(),
        by_name: items.map(|item| (name(item), item)).collect(),
    }
}

fn compare_items(
    changes: &mut Vec<Change>,
    section: &'static Section,
    from: &Items<'_>,
    to: &Items<'_>,
) {
    let removed_names = from
        .names
        .iter()
        .filter(|name| !to.by_name.contains_key(*name));
    for name in removed_names {
        changes.push(Change {
            path: KeyPath::item(section.name, name),
            kind: ChangeKind::Removed,
        });
    }
    for name in &to.names {
        let item = to.by_name[name];
        let kind = match from.by_name.get(name) {
            None => ChangeKind::Added(new_fields(section, item)),
            Some(old) if *old != item => ChangeKind::Changed(changed_fields(section, old, item)),
            Some(_) => continue,
        };
        let path = KeyPath::item(section.name, name);
        changes.push(Change { path, kind });
    }
}

fn compare_order(
    changes: &mut Vec<Change>,
    section: &'static Section,
    from: &Items<'_>,
    to: &Items<'_>,
) {
    let names_in_both = |items: &Items<'_>, others: &Items<'_>| -> Vec<Name> {
        let names = items.names.iter();
        names
            .filter(|name| others.by_name.contains_key(*name))
            .cloned()
            .collect()
    };
    let (from, to) = (names_in_both(from, to), names_in_both(to, from));
    if from != to {
        let path = KeyPath::section(section.name);
        let kind = ChangeKind::Reordered { from, to };
        changes.push(Change { path, kind });
    }
}

fn new_fields(section: &'static Section, item: &Value) -> Vec<FieldChange> {
    let keys = section.keys.iter().skip(1);
    keys.map(|key| field_change(key, None, item)).collect()
}

fn changed_fields(section: &'static Section, old: &Value, new: &Value) -> Vec<FieldChange> {
    let keys = section.keys.iter();
    keys.filter(|key| old[key.name] != new[key.name])
        .map(|key| field_change(key, Some(old[key.name].clone()), new))
        .collect()
}

fn field_change(key: &'static Key, from: Option<Value>, item: &Value) -> FieldChange {
    FieldChange {
        key: key.name,
        from,
        to: item[key.name].clone(),
    }
}
