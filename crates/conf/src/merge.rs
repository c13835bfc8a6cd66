//! Merges the files of a folder into one tree whose values keep their origins.

use std::collections::BTreeMap;

use serde_json::Value;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::admin::FileText;
use crate::keys::{Key, Kind, Section, Shape};
use crate::problem::{Origin, Path, Problem};
use crate::{Map, Name, Set};

/// Marks an item that a later file removes.
const REMOVE_KEY: &str = "remove";

/// A value and where it is written.
#[derive(Clone, Debug)]
pub struct Placed {
    /// The value.
    pub value: Value,
    /// File and line.
    pub origin: Origin,
}

/// The values that are written for one table.
#[derive(Clone, Debug, Default)]
pub struct Item {
    /// Value of the identifying key. Empty for a table that is not in a list.
    pub name: Name,
    /// Where the table is first mentioned.
    pub origin: Origin,
    /// Whether a later file removed it.
    removed: bool,
    /// The values by key.
    pub fields: BTreeMap<&'static str, Placed>,
}

/// A value that a later file changed, or an item that it removed.
#[derive(Clone, Debug, PartialEq)]
pub struct Override {
    /// The value or the item.
    pub path: Path,
    /// Where it was written first.
    pub earlier: Origin,
    /// The earlier value. `None` for an item.
    pub earlier_value: Option<Value>,
    /// Where the later file changes it.
    pub later: Origin,
    /// The later value. `None` if the later file removes the item.
    pub later_value: Option<Value>,
}

/// The result of merging all files.
#[derive(Clone, Debug, Default)]
pub struct Merged {
    /// The tables by section, in the order of first mention.
    pub items: BTreeMap<&'static str, Vec<Item>>,
    /// What later files changed or removed.
    pub overrides: Vec<Override>,
    /// Everything found wrong on the way.
    pub problems: Vec<Problem>,
    /// Whether a file could not be parsed, so that values may be missing.
    pub incomplete: bool,
    /// Index of each item in its section. Folders have thousands of items.
    indices: Map<Path, usize>,
}

/// Merges files in the order given.
pub fn merge(sections: &'static [Section], files: &[FileText]) -> Merged {
    let mut merged = Merged::default();
    for file in files {
        let lines = Lines::new(&file.name, &file.text);
        let (document, errors) = DeTable::parse_recoverable(&file.text);
        if errors.is_empty() {
            merged.add_document(sections, &lines, document.get_ref());
            continue;
        }
        merged.incomplete = true;
        for error in errors {
            let origin = lines.origin(error.span().map_or(0, |span| span.start));
            let problem = Problem::error(Path::default(), error.message().trim());
            merged.problems.push(problem.at(origin));
        }
    }
    merged.drop_removed();
    merged
}

impl Merged {
    /// Finds where a path is written, or else the closest table around it.
    pub fn origin(&self, path: &Path) -> Option<&Origin> {
        let items = self.items.get(path.section.as_str())?;
        let item = match path.item.is_empty() {
            true => items.first()?,
            false => items.get(*self.indices.get(&path.whole_item())?)?,
        };
        let field = item.fields.get(path.key.as_str());
        Some(field.map_or(&item.origin, |placed| &placed.origin))
    }

    fn drop_removed(&mut self) {
        self.indices.clear();
        for (section, items) in &mut self.items {
            items.retain(|item| !item.removed);
            for (index, item) in items.iter().enumerate() {
                self.indices.insert(Path::item(section, &item.name), index);
            }
        }
    }

    fn add_document(
        &mut self,
        sections: &'static [Section],
        lines: &Lines<'_>,
        document: &DeTable<'_>,
    ) {
        for (key, value) in document {
            let origin = lines.origin(key.span().start);
            let name: &str = key.get_ref();
            match sections.iter().find(|section| section.name == name) {
                Some(section) => self.add_section(section, lines, &origin, value.get_ref()),
                None => {
                    let known = sections.iter().map(|section| section.name);
                    self.refuse(Path::default(), &origin, unknown(name, known));
                }
            }
        }
    }

    fn add_section(
        &mut self,
        section: &'static Section,
        lines: &Lines<'_>,
        origin: &Origin,
        value: &DeValue<'_>,
    ) {
        let path = Path::section(section.name);
        match (section.shape, value) {
            (Shape::Table, DeValue::Table(table)) => {
                self.add_table(section, lines, origin, table);
            }
            (Shape::List { id }, DeValue::Array(array)) => {
                let mut seen = Set::default();
                for element in array {
                    self.add_element(section, id, lines, element, &mut seen);
                }
            }
            (Shape::Table, _) => self.refuse(
                path,
                origin,
                format!("must be a table, written `[{}]`", section.name),
            ),
            (Shape::List { .. }, _) => self.refuse(
                path,
                origin,
                format!("must be a list of tables, written `[[{}]]`", section.name),
            ),
        }
    }

    fn add_table(
        &mut self,
        section: &'static Section,
        lines: &Lines<'_>,
        origin: &Origin,
        table: &DeTable<'_>,
    ) {
        let fields = self.read_fields(section, &Path::section(section.name), lines, table);
        let items = self.items.entry(section.name).or_default();
        match items.first_mut() {
            Some(item) => Self::add_fields(
                &mut self.overrides,
                &Path::section(section.name),
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

    fn add_element(
        &mut self,
        section: &'static Section,
        id: &'static str,
        lines: &Lines<'_>,
        element: &Spanned<DeValue<'_>>,
        seen: &mut Set<Name>,
    ) {
        let origin = lines.origin(element.span().start);
        let path = Path::section(section.name);
        let DeValue::Table(table) = element.get_ref() else {
            self.refuse(path, &origin, "must be a list of tables");
            return;
        };
        let Some(name) = identity(table, id) else {
            self.refuse(
                path,
                &origin,
                format!("needs `{id}`, a string that is not empty"),
            );
            return;
        };
        let path = Path::item(section.name, &name);
        if !seen.insert(name) {
            self.refuse(path, &origin, "is written twice in one file");
            return;
        }
        match removal(table) {
            Some(true) => self.remove_item(section, &path, &origin, table),
            Some(false) | None => self.add_item(section, path, origin, lines, table),
        }
    }

    fn add_item(
        &mut self,
        section: &'static Section,
        path: Path,
        origin: Origin,
        lines: &Lines<'_>,
        table: &DeTable<'_>,
    ) {
        let fields = self.read_fields(section, &path, lines, table);
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
        path: &Path,
        item: &mut Item,
        fields: BTreeMap<&'static str, Placed>,
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
                earlier: earlier.origin,
                earlier_value: Some(earlier.value),
                later: later.origin,
                later_value: Some(later.value),
            });
        }
    }

    fn remove_item(
        &mut self,
        section: &'static Section,
        path: &Path,
        origin: &Origin,
        table: &DeTable<'_>,
    ) {
        if table.len() > 2 {
            self.refuse(
                path.clone(),
                origin,
                "is removed here, so that it takes no other keys",
            );
        }
        let Some(index) = self.indices.remove(path) else {
            self.refuse(
                path.clone(),
                origin,
                "is removed, but no earlier file has it",
            );
            return;
        };
        let items = self.items.entry(section.name).or_default();
        let removed = &mut items[index];
        removed.removed = true;
        self.overrides.push(Override {
            path: path.clone(),
            earlier: removed.origin.clone(),
            earlier_value: None,
            later: origin.clone(),
            later_value: None,
        });
    }

    fn read_fields(
        &mut self,
        section: &'static Section,
        path: &Path,
        lines: &Lines<'_>,
        table: &DeTable<'_>,
    ) -> BTreeMap<&'static str, Placed> {
        let mut fields = BTreeMap::new();
        for (key, value) in table {
            let origin = lines.origin(key.span().start);
            let name: &str = key.get_ref();
            if name == REMOVE_KEY && !path.item.is_empty() {
                if !matches!(value.get_ref(), DeValue::Boolean(_)) {
                    self.refuse(path.clone(), &origin, "`remove` must be true or false");
                }
                continue;
            }
            let Some(known) = section.key(name) else {
                let keys = section.keys.iter().map(|key| key.name);
                let remove = (!path.item.is_empty()).then_some(REMOVE_KEY);
                self.refuse(path.clone(), &origin, unknown(name, keys.chain(remove)));
                continue;
            };
            match read_value(known, value.get_ref()) {
                Ok(value) => {
                    fields.insert(known.name, Placed { value, origin });
                }
                Err(message) => self.refuse(path.key(known.name), &origin, message),
            }
        }
        fields
    }

    fn refuse(&mut self, path: Path, origin: &Origin, message: impl Into<String>) {
        let problem = Problem::error(path, message);
        self.problems.push(problem.at(origin.clone()));
    }
}

/// Finds the line of a byte offset in one file.
struct Lines<'a> {
    file: &'a Name,
    starts: Vec<usize>,
}

impl<'a> Lines<'a> {
    fn new(file: &'a Name, text: &str) -> Self {
        let newlines = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
        Self {
            file,
            starts: newlines.map(|(offset, _)| offset + 1).collect(),
        }
    }

    fn origin(&self, offset: usize) -> Origin {
        Origin {
            file: self.file.clone(),
            line: self.starts.partition_point(|start| *start <= offset) + 1,
        }
    }
}

fn identity(table: &DeTable<'_>, id: &str) -> Option<Name> {
    match table.get(id)?.get_ref() {
        DeValue::String(text) if !text.is_empty() => Some(Name::new(text)),
        _ => None,
    }
}

fn removal(table: &DeTable<'_>) -> Option<bool> {
    match table.get(REMOVE_KEY)?.get_ref() {
        DeValue::Boolean(remove) => Some(*remove),
        _ => None,
    }
}

fn read_value(key: &Key, value: &DeValue<'_>) -> Result<Value, String> {
    let read = match (key.kind, value) {
        (Kind::Number { .. }, DeValue::Integer(_)) => {
            json(value).as_f64().map_or(Value::Null, Value::from)
        }
        _ => json(value),
    };
    match key.kind.accept(&read) {
        Ok(()) => Ok(read),
        Err(message) => Err(format!("{message}, but is {}", shown(value))),
    }
}

fn json(value: &DeValue<'_>) -> Value {
    match value {
        DeValue::String(text) => Value::from(text.as_ref()),
        DeValue::Integer(integer) => {
            i64::from_str_radix(integer.as_str(), integer.radix()).map_or(Value::Null, Value::from)
        }
        // Adding 0 turns a negative zero into zero, which is equal but has another text.
        DeValue::Float(float) => float
            .as_str()
            .parse::<f64>()
            .map_or(Value::Null, |number| Value::from(number + 0.0)),
        DeValue::Boolean(flag) => Value::from(*flag),
        DeValue::Array(array) => array
            .iter()
            .map(|element| json(element.get_ref()))
            .collect(),
        DeValue::Datetime(_) | DeValue::Table(_) => Value::Null,
    }
}

fn shown(value: &DeValue<'_>) -> String {
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

fn unknown<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> String {
    let nearest = known
        .map(|key| (strsim::osa_distance(name, key), key))
        .min();
    match nearest {
        Some((_, key)) => format!("unknown key `{name}`; the nearest valid key is `{key}`"),
        None => format!("unknown key `{name}`"),
    }
}
