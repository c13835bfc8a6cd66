//! The canonical text of a service configuration and its content id.

use sha2::{Digest, Sha256};

use crate::{Name, ServiceConfig};

/// Reason why a canonical text could not be read.
#[derive(Debug, thiserror::Error)]
#[error("the text is not a canonical configuration: {0}")]
pub struct Error(#[from] serde_json::Error);

impl ServiceConfig {
    /// Returns the configuration with all lists of items sorted by name, except the ranks, which are ordered from most
    /// to least urgent.
    pub fn canonical(&self) -> Self {
        let mut sorted = self.clone();
        sorted.client_accounts.sort_by(|a, b| a.name.cmp(&b.name));
        sorted.models.sort_by(|a, b| a.name.cmp(&b.name));
        sorted.services.sort_by(|a, b| a.name.cmp(&b.name));
        sorted.routes.sort_by(|a, b| a.name.cmp(&b.name));
        sorted.upstreams.sort_by(|a, b| a.name.cmp(&b.name));
        sorted
    }

    /// Returns the configuration as JSON that does not depend on how the items are spread over files.
    ///
    /// ```
    /// let config = conf::ServiceConfig::default();
    /// let text = config.canonical_text();
    /// assert_eq!(conf::ServiceConfig::from_canonical_text(&text).unwrap(), config);
    /// ```
    pub fn canonical_text(&self) -> String {
        // Serialization cannot fail: the keys are field names and the writer is a buffer in memory.
        let mut text = serde_json::to_string_pretty(&self.canonical()).unwrap_or_default();
        text.push('\n');
        text
    }

    /// Reads a configuration from its canonical text. The configuration is not checked; see [`crate::check`].
    ///
    /// # Errors
    /// Returns an error if the text is not the JSON of a service configuration.
    pub fn from_canonical_text(text: &str) -> Result<Self, Error> {
        Ok(serde_json::from_str(text)?)
    }

    /// Returns the SHA-256 of the canonical text, in lower-case hexadecimal.
    pub fn content_id(&self) -> Name {
        content_id(&self.canonical_text())
    }
}

/// Returns the SHA-256 of a canonical text, in lower-case hexadecimal.
pub fn content_id(canonical_text: &str) -> Name {
    let digest = Sha256::digest(canonical_text.as_bytes());
    let digits = digest.iter().map(|byte| format!("{byte:02x}"));
    Name::from(digits.collect::<String>())
}
