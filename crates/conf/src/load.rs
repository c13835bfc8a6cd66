//! Loads a configuration from a folder of TOML files, which are merged in the order of their names.

use std::collections::BTreeSet;
use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Map as JsonMap, Value};

use crate::admin::{ApplyRequest, FileText};
use crate::keys::{self, Section, Shape};
use crate::merge::{self, Item, Merged, Override};
use crate::problem::{KeyPath, Origin, Problem, Severity};
use crate::{Name, ServiceConfig, Settings, check, content_id};

/// Maximum size of one file, in bytes. The limit prevents a wrong path from exhausting the memory.
const MAX_FILE_BYTES: u64 = 64 * 1024 * 1024;

const CONTENT_ID_MISMATCH: Name =
    Name::from_static_str("the content id does not match the canonical text");
const CANONICAL_TEXT_MISMATCH: Name = Name::from_static_str(
    "the files do not produce the canonical text of the request; the command may be of another version",
);

/// A valid configuration and the origins of its values.
#[derive(Clone, Debug)]
pub struct Loaded<T> {
    /// The merged configuration.
    pub value: T,
    /// The files, in the order in which they were merged.
    pub files: Vec<FileText>,
    /// Every value with its path and origin.
    pub values: Vec<ValueOrigin>,
    /// The values and items that later files changed or removed.
    pub overrides: Vec<Override>,
    /// Problems that do not make the configuration invalid.
    pub warnings: Vec<Problem>,
}

/// A value of the merged configuration with its path and origin.
#[derive(Clone, Debug, PartialEq)]
pub struct ValueOrigin {
    /// Path of the value.
    pub path: KeyPath,
    /// The value.
    pub value: Value,
    /// File and line of the value. `None` for a default.
    pub origin: Option<Origin>,
}

/// Reason why a configuration was not loaded.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A folder or file could not be read.
    #[error("cannot read {}: {source}", path.display())]
    Read {
        /// The folder or file.
        path: PathBuf,
        /// Reason why the folder or file could not be read.
        source: io::Error,
    },
    /// The folder has no file whose name ends in `.toml`.
    #[error("the folder {} has no .toml files", path.display())]
    Empty {
        /// The folder.
        path: PathBuf,
    },
    /// The configuration is invalid.
    #[error("{0}")]
    Invalid(Problems),
}

/// All errors and warnings about a configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Problems(pub Vec<Problem>);

impl fmt::Display for Problems {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(formatter)?;
            }
            write!(formatter, "{problem}")?;
        }
        Ok(())
    }
}

/// Loads a service configuration.
///
/// # Errors
/// Returns an error if the folder cannot be read or the configuration is invalid.
pub fn service(folder: impl AsRef<Path>) -> Result<Loaded<ServiceConfig>, Error> {
    service_from_files(read_folder(folder.as_ref())?).map_err(Error::Invalid)
}

/// Loads the settings of an instance.
///
/// # Errors
/// Returns an error if the folder cannot be read or the settings are invalid.
pub fn settings(folder: impl AsRef<Path>) -> Result<Loaded<Settings>, Error> {
    settings_from_files(read_folder(folder.as_ref())?).map_err(Error::Invalid)
}

/// Loads a service configuration from the texts of its files, in any order.
///
/// ```
/// use conf::admin::FileText;
///
/// let file = FileText { name: "00-ranks.toml".into(), text: "[[rank]]\nname = \"urgent\"\n".into() };
/// let problems = conf::load::service_from_files(vec![file]).unwrap_err();
/// assert!(problems.to_string().starts_with(
///     "00-ranks.toml:1: error: unknown key `rank`; the nearest valid key is `ranks`"
/// ));
/// ```
///
/// # Errors
/// Returns all problems if the configuration is invalid.
pub fn service_from_files(files: Vec<FileText>) -> Result<Loaded<ServiceConfig>, Problems> {
    let mut loaded = load(keys::SERVICE, files, check::service)?;
    loaded.value = loaded.value.canonical();
    Ok(loaded)
}

/// Loads the settings of an instance from the texts of its files, in any order.
///
/// # Errors
/// Returns all problems if the settings are invalid.
pub fn settings_from_files(files: Vec<FileText>) -> Result<Loaded<Settings>, Problems> {
    load(keys::SETTINGS, files, check::settings)
}

/// Loads the configuration of an apply request and checks that its files, canonical text and content id agree.
///
/// # Errors
/// Returns the texts of all problems, for [`crate::admin::ApplyReply::Invalid`].
pub fn apply_request(request: &ApplyRequest) -> Result<Loaded<ServiceConfig>, Vec<Name>> {
    if content_id(&request.canonical) != request.content_id {
        return Err(vec![CONTENT_ID_MISMATCH]);
    }
    let loaded = service_from_files(request.files.clone()).map_err(|problems| {
        let texts = problems
            .0
            .iter()
            .map(|problem| Name::from(problem.to_string()));
        texts.collect::<Vec<_>>()
    })?;
    if loaded.value.canonical_text() != request.canonical.as_str() {
        return Err(vec![CANONICAL_TEXT_MISMATCH]);
    }
    Ok(loaded)
}

/// Returns the files of a folder whose names end in `.toml` and do not start with a dot, in the order of their names.
///
/// # Errors
/// Returns an error if the folder or a file cannot be read, or if there is no such file.
pub fn read_folder(folder: &Path) -> Result<Vec<FileText>, Error> {
    let mut files = Vec::new();
    for entry in std::fs::read_dir(folder).map_err(|source| read_error(folder, source))? {
        let entry = entry.map_err(|source| read_error(folder, source))?;
        let name = entry.file_name().to_string_lossy().into_owned();
        if name.ends_with(".toml") && !name.starts_with('.') {
            files.push(read_file(&entry.path(), name)?);
        }
    }
    if files.is_empty() {
        let path = folder.to_owned();
        return Err(Error::Empty { path });
    }
    files.sort_by(|left, right| left.name.cmp(&right.name));
    Ok(files)
}

fn read_file(path: &Path, name: String) -> Result<FileText, Error> {
    let size_bytes = std::fs::metadata(path)
        .map_err(|source| read_error(path, source))?
        .len();
    if size_bytes > MAX_FILE_BYTES {
        let source = io::Error::other(format!("the file is larger than {MAX_FILE_BYTES} bytes"));
        return Err(read_error(path, source));
    }
    let text = std::fs::read_to_string(path).map_err(|source| read_error(path, source))?;
    Ok(FileText {
        name: Name::from(name),
        text: Name::from(text),
    })
}

fn read_error(path: &Path, source: io::Error) -> Error {
    let path = path.to_owned();
    Error::Read { path, source }
}

fn load<T: Serialize + DeserializeOwned>(
    sections: &'static [Section],
    mut files: Vec<FileText>,
    check: fn(&T) -> Vec<Problem>,
) -> Result<Loaded<T>, Problems> {
    files.sort_by(|left, right| left.name.cmp(&right.name));
    let mut merged = merge::merge(sections, &files);
    let mut problems = std::mem::take(&mut merged.problems);
    if merged.incomplete {
        // The checks across files would report names as unknown that the unparsed file may define.
        return Err(Problems(problems));
    }
    let value: T = match serde_json::from_value(sections_to_json(sections, &merged)) {
        Ok(value) => value,
        Err(error) => {
            problems.push(Problem::error(KeyPath::default(), error.to_string()));
            return Err(Problems(problems));
        }
    };
    let reported_paths: BTreeSet<KeyPath> = problems
        .iter()
        .map(|problem| problem.path.clone())
        .collect();
    for mut problem in check(&value) {
        // The merge left out a rejected value, so that the checks see an earlier value or the default in its place.
        // A problem of that replacement is not reported, because the rejected value was reported before.
        if problem.path.key.is_empty() || !reported_paths.contains(&problem.path) {
            problem.origin = merged.origin(&problem.path).cloned();
            problems.push(problem);
        }
    }
    problems.sort_by_key(|problem| (problem.origin.is_none(), problem.origin.clone()));
    if problems
        .iter()
        .any(|problem| problem.severity == Severity::Error)
    {
        return Err(Problems(problems));
    }
    let values = value_origins(sections, &merged, &value);
    Ok(Loaded {
        value,
        files,
        values,
        overrides: merged.overrides,
        warnings: problems,
    })
}

fn sections_to_json(sections: &[Section], merged: &Merged) -> Value {
    let mut tree = JsonMap::new();
    for section in sections {
        let Some(items) = merged.items.get(section.name) else {
            continue;
        };
        let mut tables = items.iter().map(item_to_json);
        let value = match section.shape {
            Shape::Table => tables.next().unwrap_or_else(|| JsonMap::new().into()),
            Shape::List { .. } => tables.collect(),
        };
        tree.insert(section.name.to_owned(), value);
    }
    Value::Object(tree)
}

fn item_to_json(item: &Item) -> Value {
    let fields = item.fields.iter();
    let pairs = fields.map(|(key, located)| ((*key).to_owned(), located.value.clone()));
    Value::Object(pairs.collect())
}

fn value_origins<T: Serialize>(
    sections: &'static [Section],
    merged: &Merged,
    value: &T,
) -> Vec<ValueOrigin> {
    let config_json = serde_json::to_value(value).unwrap_or_default();
    let mut values = Vec::new();
    for section in sections {
        let items = merged
            .items
            .get(section.name)
            .map_or(&[][..], Vec::as_slice);
        match section.shape {
            Shape::Table => {
                let item = items.first();
                add_values(&mut values, section, item, &config_json[section.name]);
            }
            Shape::List { .. } => {
                for (index, item) in items.iter().enumerate() {
                    let item_json = &config_json[section.name][index];
                    add_values(&mut values, section, Some(item), item_json);
                }
            }
        }
    }
    values
}

fn add_values(
    values: &mut Vec<ValueOrigin>,
    section: &'static Section,
    item: Option<&Item>,
    config_json: &Value,
) {
    let name = item.map(|item| item.name.clone()).unwrap_or_default();
    let path = KeyPath::item(section.name, &name);
    for key in section.keys {
        let located = item.and_then(|item| item.fields.get(key.name));
        values.push(ValueOrigin {
            path: path.key(key.name),
            value: config_json[key.name].clone(),
            origin: located.map(|located| located.origin.clone()),
        });
    }
}
