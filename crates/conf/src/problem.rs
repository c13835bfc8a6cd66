//! Where a configured value comes from and what is wrong with it.

use std::fmt;

use crate::Name;

/// The file and line in which a value is written.
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

/// The place of a value in the merged configuration. Parts that do not apply are empty.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KeyPath {
    /// Table or list of tables.
    pub section: Name,
    /// Name of the item, in a list of tables.
    pub item: Name,
    /// Key of the value.
    pub key: Name,
}

impl KeyPath {
    /// Names a whole section.
    pub fn section(section: &'static str) -> Self {
        Self {
            section: Name::from_static_str(section),
            ..Self::default()
        }
    }

    /// Names an item of a list of tables.
    pub fn item(section: &'static str, item: &Name) -> Self {
        Self {
            item: item.clone(),
            ..Self::section(section)
        }
    }

    /// Names the item or section of this value.
    pub fn parent(&self) -> Self {
        Self {
            key: Name::default(),
            ..self.clone()
        }
    }

    /// Names a value of this section or item.
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
    /// The configuration is refused.
    Error,
    /// The configuration is accepted and the operator is told.
    Warning,
}

/// Something wrong with a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Whether the configuration is refused.
    pub severity: Severity,
    /// File and line, if the problem lies in a file.
    pub origin: Option<Origin>,
    /// Place in the merged configuration.
    pub path: KeyPath,
    /// What is wrong.
    pub message: String,
}

impl Problem {
    /// Describes a problem that makes the configuration invalid.
    pub fn error(path: KeyPath, message: impl Into<String>) -> Self {
        Self {
            severity: Severity::Error,
            origin: None,
            path,
            message: message.into(),
        }
    }

    /// Describes a problem that the operator is only told about.
    pub fn warning(path: KeyPath, message: impl Into<String>) -> Self {
        Self {
            severity: Severity::Warning,
            ..Self::error(path, message)
        }
    }

    /// Adds the file and line.
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
