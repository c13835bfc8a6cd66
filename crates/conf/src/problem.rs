//! Origins and paths of configured values, and problems found with these values.

use std::fmt;

use crate::Name;

/// The file and line of a value.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Origin {
    /// File name without its folder.
    pub file: Name,
    /// Line number, from 1.
    pub line: usize,
}

impl fmt::Display for Origin {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}", self.file, self.line)
    }
}

/// The path of a value in the merged configuration, written `section.item.key`. Parts that do not apply are empty.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KeyPath {
    /// Name of the table or list of tables.
    pub section: Name,
    /// Name of the item in a list of tables.
    pub item: Name,
    /// Key of the value.
    pub key: Name,
}

impl KeyPath {
    /// Returns the path of a section.
    pub fn section(section: &'static str) -> Self {
        Self {
            section: Name::from_static_str(section),
            ..Self::default()
        }
    }

    /// Returns the path of an item of a list of tables.
    pub fn item(section: &'static str, item: &Name) -> Self {
        Self {
            item: item.clone(),
            ..Self::section(section)
        }
    }

    /// Returns the path of the item or section that contains this value.
    pub fn parent(&self) -> Self {
        Self {
            key: Name::default(),
            ..self.clone()
        }
    }

    /// Returns the path of a value in this section or item.
    pub fn key(&self, key: &'static str) -> Self {
        Self {
            key: Name::from_static_str(key),
            ..self.clone()
        }
    }
}

impl fmt::Display for KeyPath {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let parts = [&self.section, &self.item, &self.key];
        let mut present = parts.into_iter().filter(|part| !part.is_empty());
        if let Some(first) = present.next() {
            write!(formatter, "{first}")?;
        }
        present.try_for_each(|part| write!(formatter, ".{part}"))
    }
}

/// Whether a problem makes the configuration invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Severity {
    /// The configuration is rejected.
    Error,
    /// The configuration is accepted, and the problem is reported to the operator.
    Warning,
}

/// An error in a configuration, or a warning about it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Whether the problem makes the configuration invalid.
    pub severity: Severity,
    /// File and line of the problem, if it is known.
    pub origin: Option<Origin>,
    /// Path of the value, item or section that the problem is about.
    pub path: KeyPath,
    /// Description of the problem.
    pub message: String,
}

impl Problem {
    /// Returns a problem that makes the configuration invalid.
    pub fn error(path: KeyPath, message: impl Into<String>) -> Self {
        Self {
            severity: Severity::Error,
            origin: None,
            path,
            message: message.into(),
        }
    }

    /// Returns a problem that leaves the configuration valid.
    pub fn warning(path: KeyPath, message: impl Into<String>) -> Self {
        Self {
            severity: Severity::Warning,
            ..Self::error(path, message)
        }
    }

    /// Returns the problem with its file and line.
    pub fn with_origin(self, origin: Origin) -> Self {
        Self {
            origin: Some(origin),
            ..self
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(origin) = &self.origin {
            write!(formatter, "{origin}: ")?;
        }
        match self.severity {
            Severity::Error => write!(formatter, "error: ")?,
            Severity::Warning => write!(formatter, "warning: ")?,
        }
        if self.path != KeyPath::default() {
            write!(formatter, "{}: ", self.path)?;
        }
        write!(formatter, "{}", self.message)
    }
}
