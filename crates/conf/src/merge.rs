//! Merges the files of a folder into one tree whose values keep their origins.

use std::collections::BTreeMap;

use serde_json::Value;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::admin::FileText;
use crate::keys::{Key, Section, Shape, ValueKind};
use crate::problem::{KeyPath, Origin, Problem};
use crate::{Map, Name, Set};

/// Key with which a later file removes an item of an earlier file.
const REMOVE_KEY: &str = "remove";

/// A value with its file and line.
#[derive(Clone, Debug)]
pub struct LocatedValue {
    /// The value.
    pub value: Value,
    /// File and line of the value.
    pub origin: Origin,
}

/// One table, or one item of a list of tables, with the values that the files set.
#[derive(Clone, Debug, Default)]
pub struct Item {
    /// Value of the key that identifies the item. Empty for a table that is not in a list.
    pub name: Name,
    /// File and line of the first mention of the table.
    pub origin: Origin,
    /// Whether a later file removed the item.
    removed: bool,
    /// The values, by key.
    pub fields: BTreeMap<&'static str, LocatedValue>,
}

/// A value that a later file changed, or an item that a later file removed.
#[derive(Clone, Debug, PartialEq)]
pub struct Override {
    /// Path of the value or the item.
    pub path: KeyPath,
    /// File and line of the earlier value or item.
    pub earlier_origin: Origin,
    /// The earlier value. `None` for a removed item.
    pub earlier_value: Option<Value>,
    /// File and line of the change or removal.
    pub later_origin: Origin,
    /// The later value. `None` if the later file removes the item.
    pub later_value: Option<Value>,
}

/// The result of merging all files.
#[derive(Clone, Debug, Default)]
pub struct Merged {
    /// The tables and items of each section, in the order of first mention.
    pub items: BTreeMap<&'static str, Vec<Item>>,
    /// The values and items that later files changed or removed.
    pub overrides: Vec<Override>,
    /// The errors found during the merge.
    pub problems: Vec<Problem>,
    /// Whether a file could not be parsed, so that values and items of the file may be missing.
    pub incomplete: bool,
    /// Index of each item in its section. A map, because a folder may have thousands of items.
    indices: Map<KeyPath, usize>,
}

/// Merges the files in the order given.
pub fn merge(sections: &'static [Section], files: &[FileText]) -> Merged {
    let mut merged = Merged::default();
    for file in files {
        let line_index = LineIndex::new(&file.name, &file.text);
        let (document, errors) = DeTable::parse_recoverable(&file.text);
        if errors.is_empty() {
            merged.add_document(sections, &line_index, document.get_ref());
            continue;
        }
        merged.incomplete = true;
        for error in errors {
            let origin = line_index.origin(error.span().map_or(0, |span| span.start));
            let problem = Problem::error(KeyPath::default(), error.message().trim());
            merged.problems.push(problem.with_origin(origin));
        }
    }
    merged.drop_removed();
    merged
}

impl Merged {
    /// Returns the file and line of the value at `path`, or else of the table or item that would contain the value.
    pub fn origin(&self, path: &KeyPath) -> Option<&Origin> {
        let items = self.items.get(path.section.as_str())?;
        let item = match path.item.is_empty() {
            true => items.first()?,
            false => items.get(*self.indices.get(&path.parent())?)?,
        };
        let field = item.fields.get(path.key.as_str());
        Some(field.map_or(&item.origin, |located| &located.origin))
    }

    fn drop_removed(&mut self) {
        self.indices.clear();
        for (section, items) in &mut self.items {
            items.retain(|item| !item.removed);
            for (index, item) in items.iter().enumerate() {
                self.indices
                    .insert(KeyPath::item(section, &item.name), index);
            }
        }
    }

    fn add_document(
        &mut self,
        sections: &'static [Section],
        line_index: &LineIndex<'_>,
        document: &DeTable<'_>,
    ) {
        for (key, value) in document {
            let origin = line_index.origin(key.span().start);
            let name: &str = key.get_ref();
            match sections.iter().find(|section| section.name == name) {
                Some(section) => self.add_section(section, line_index, &origin, value.get_ref()),
                None => {
                    let known = sections.iter().map(|section| section.name);
                    self.add_error(
                        KeyPath::default(),
                        &origin,
                        unknown_key_message(name, known),
                    );
                }
            }
        }
    }

    fn add_section(
        &mut self,
        section: &'static Section,
        line_index: &LineIndex<'_>,
        origin: &Origin,
        value: &DeValue<'_>,
    ) {
        let path = KeyPath::section(section.name);
        match (section.shape, value) {
            (Shape::Table, DeValue::Table(table)) => {
                self.add_table(section, line_index, origin, table);
            }
            (Shape::List { id }, DeValue::Array(array)) => {
                let mut seen = Set::default();
                for element in array {
                    self.add_list_element(section, id, line_index, element, &mut seen);
                }
            }
            (Shape::Table, _) => self.add_error(
                path,
                origin,
                format!("must be a table, written `[{}]`", section.name),
            ),
            (Shape::List { .. }, _) => self.add_error(
                path,
                origin,
                format!("must be a list of tables, written `[[{}]]`", section.name),
            ),
        }
    }

    fn add_table(
        &mut self,
        section: &'static Section,
        line_index: &LineIndex<'_>,
        origin: &Origin,
        table: &DeTable<'_>,
    ) {
        let fields = self.read_fields(section, &KeyPath::section(section.name), line_index, table);
        let items = self.items.entry(section.name).or_default();
        match items.first_mut() {
            Some(item) => Self::add_fields(
                &mut self.overrides,
                &KeyPath::section(section.name),
                item,
                fields,
            ),
            None => items.push(Item {
                origin: origin.clone(),
                fields,
                ..Item::default()
            }),
        }
    }

    fn add_list_element(
        &mut self,
        section: &'static Section,
        id: &'static str,
        line_index: &LineIndex<'_>,
        element: &Spanned<DeValue<'_>>,
        seen: &mut Set<Name>,
    ) {
        let origin = line_index.origin(element.span().start);
        let path = KeyPath::section(section.name);
        let DeValue::Table(table) = element.get_ref() else {
            self.add_error(path, &origin, "must be a list of tables");
            return;
        };
        let Some(name) = item_name(table, id) else {
            self.add_error(
                path,
                &origin,
                format!("an item needs `{id}`, a non-empty string"),
            );
            return;
        };
        let path = KeyPath::item(section.name, &name);
        if !seen.insert(name) {
            self.add_error(path, &origin, "the item is defined twice in one file");
            return;
        }
        match remove_flag(table) {
            Some(true) => self.remove_item(section, &path, &origin, table),
            Some(false) | None => self.add_item(section, path, origin, line_index, table),
        }
    }

    fn add_item(
        &mut self,
        section: &'static Section,
        path: KeyPath,
        origin: Origin,
        line_index: &LineIndex<'_>,
        table: &DeTable<'_>,
    ) {
        let fields = self.read_fields(section, &path, line_index, table);
        let items = self.items.entry(section.name).or_default();
        match self.indices.get(&path) {
            Some(index) => {
                Self::add_fields(&mut self.overrides, &path, &mut items[*index], fields);
            }
            None => {
                self.indices.insert(path.clone(), items.len());
                items.push(Item {
                    name: path.item,
                    origin,
                    fields,
                    ..Item::default()
                });
            }
        }
    }

    fn add_fields(
        overrides: &mut Vec<Override>,
        path: &KeyPath,
        item: &mut Item,
        fields: BTreeMap<&'static str, LocatedValue>,
    ) {
        for (key, later) in fields {
            let Some(earlier) = item.fields.insert(key, later.clone()) else {
                continue;
            };
            if earlier.value == later.value {
                continue;
            }
            overrides.push(Override {
                path: path.key(key),
                earlier_origin: earlier.origin,
                earlier_value: Some(earlier.value),
                later_origin: later.origin,
                later_value: Some(later.value),
            });
        }
    }

    fn remove_item(
        &mut self,
        section: &'static Section,
        path: &KeyPath,
        origin: &Origin,
        table: &DeTable<'_>,
    ) {
        if table.len() > 2 {
            self.add_error(
                path.clone(),
                origin,
                "an item with `remove = true` takes no other keys",
            );
        }
        let Some(index) = self.indices.remove(path) else {
            self.add_error(
                path.clone(),
                origin,
                "the item cannot be removed, because no earlier file defines it",
            );
            return;
        };
        let items = self.items.entry(section.name).or_default();
        let removed = &mut items[index];
        removed.removed = true;
        self.overrides.push(Override {
            path: path.clone(),
            earlier_origin: removed.origin.clone(),
            earlier_value: None,
            later_origin: origin.clone(),
            later_value: None,
        });
    }

    fn read_fields(
        &mut self,
        section: &'static Section,
        path: &KeyPath,
        line_index: &LineIndex<'_>,
        table: &DeTable<'_>,
    ) -> BTreeMap<&'static str, LocatedValue> {
        let mut fields = BTreeMap::new();
        for (key, value) in table {
            let origin = line_index.origin(key.span().start);
            let name: &str = key.get_ref();
            if name == REMOVE_KEY && !path.item.is_empty() {
                if !matches!(value.get_ref(), DeValue::Boolean(_)) {
                    self.add_error(path.clone(), &origin, "`remove` must be true or false");
                }
                continue;
            }
            let Some(known_key) = section.key(name) else {
                let keys = section.keys.iter().map(|key| key.name);
                let remove = (!path.item.is_empty()).then_some(REMOVE_KEY);
                self.add_error(
                    path.clone(),
                    &origin,
                    unknown_key_message(name, keys.chain(remove)),
                );
                continue;
            };
            match read_value(known_key, value.get_ref()) {
                Ok(value) => {
                    fields.insert(known_key.name, LocatedValue { value, origin });
                }
                Err(message) => self.add_error(path.key(known_key.name), &origin, message),
            }
        }
        fields
    }

    fn add_error(&mut self, path: KeyPath, origin: &Origin, message: impl Into<String>) {
        let problem = Problem::error(path, message);
        self.problems.push(problem.with_origin(origin.clone()));
    }
}

/// Maps byte offsets in one file to line numbers.
struct LineIndex<'a> {
    file: &'a Name,
    line_starts: Vec<usize>,
}

impl<'a> LineIndex<'a> {
    fn new(file: &'a Name, text: &str) -> Self {
        let newlines = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
        Self {
            file,
            line_starts: newlines.map(|(offset, _)| offset + 1).collect(),
        }
    }

    fn origin(&self, offset: usize) -> Origin {
        Origin {
            file: self.file.clone(),
            line: self.line_starts.partition_point(|start| *start <= offset) + 1,
        }
    }
}

fn item_name(table: &DeTable<'_>, id: &str) -> Option<Name> {
    match table.get(id)?.get_ref() {
        DeValue::String(text) if !text.is_empty() => Some(Name::new(text)),
        _ => None,
    }
}

fn remove_flag(table: &DeTable<'_>) -> Option<bool> {
    match table.get(REMOVE_KEY)?.get_ref() {
        DeValue::Boolean(remove) => Some(*remove),
        _ => None,
    }
}

fn read_value(key: &Key, value: &DeValue<'_>) -> Result<Value, String> {
    let json_value = match (key.kind, value) {
        (ValueKind::Number { .. }, DeValue::Integer(_)) => {
            to_json(value).as_f64().map_or(Value::Null, Value::from)
        }
        _ => to_json(value),
    };
    match key.kind.validate(&json_value) {
        Ok(()) => Ok(json_value),
        Err(message) => Err(format!("{message}, but is {}", display_text(value))),
    }
}

fn to_json(value: &DeValue<'_>) -> Value {
    match value {
        DeValue::String(text) => Value::from(text.as_ref()),
        DeValue::Integer(integer) => {
            i64::from_str_radix(integer.as_str(), integer.radix()).map_or(Value::Null, Value::from)
        }
        // Adding 0.0 turns a negative zero into zero. The two are equal, but their texts and content ids would differ.
        DeValue::Float(float) => float
            .as_str()
            .parse::<f64>()
            .map_or(Value::Null, |number| Value::from(number + 0.0)),
        DeValue::Boolean(flag) => Value::from(*flag),
        DeValue::Array(array) => array
            .iter()
            .map(|element| to_json(element.get_ref()))
            .collect(),
        DeValue::Datetime(_) | DeValue::Table(_) => Value::Null,
    }
}

fn display_text(value: &DeValue<'_>) -> String {
    match value {
        DeValue::String(text) => format!("{text:?}"),
        DeValue::Integer(integer) => integer.to_string(),
        DeValue::Float(float) => float.to_string(),
        DeValue::Boolean(flag) => flag.to_string(),
        DeValue::Datetime(_) => "a date or time".to_owned(),
        DeValue::Array(_) => "an array".to_owned(),
        DeValue::Table(_) => "a table".to_owned(),
    }
}

fn unknown_key_message<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> String {
    let nearest = known
        .map(|key| (strsim::osa_distance(name, key), key))
        .min();
    match nearest {
        Some((_, key)) => format!("unknown key `{name}`; the nearest valid key is `{key}`"),
        None => format!("unknown key `{name}`"),
    }
}
