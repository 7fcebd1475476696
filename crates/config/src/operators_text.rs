//! The source of an operators' text: its main file and the files that it includes.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::{Digest, Fault, FaultKind, Faults};

/// The maximum size of a text and its included files together, in bytes.
///
/// The platform's values are limited to one megabyte. Half of that leaves space for the head and
/// lets one transaction write a whole text.
pub const MAX_TEXT_BYTES: usize = 512 * 1024;

/// A text and the files that it includes. The caller reads the files.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorsText {
    /// The main file's name, used in messages.
    pub file: Arc<str>,
    /// The contents of the main file.
    pub text: Arc<str>,
    /// The contents of included files, by the name that `include` gives.
    pub includes: BTreeMap<Arc<str>, Arc<str>>,
}

impl OperatorsText {
    /// Creates a text without included files.
    pub fn new(file: impl Into<Arc<str>>, text: impl Into<Arc<str>>) -> Self {
        Self {
            file: file.into(),
            text: text.into(),
            includes: BTreeMap::new(),
        }
    }

    /// Adds the file that `include = "name"` refers to.
    ///
    /// ```
    /// use nutmegsail_config::OperatorsText;
    /// let text = OperatorsText::new("main.toml", "").include("more.toml", "adapters = []");
    /// assert_eq!(text.bytes(), 13);
    /// ```
    pub fn include(mut self, name: impl Into<Arc<str>>, text: impl Into<Arc<str>>) -> Self {
        self.includes.insert(name.into(), text.into());
        self
    }

    /// Decodes the bytes of a main file.
    ///
    /// # Errors
    /// [`FaultKind::Encoding`] with the line and column of the first byte that is not UTF-8.
    pub fn from_bytes(file: &str, bytes: &[u8]) -> Result<Self, Faults> {
        match std::str::from_utf8(bytes) {
            Ok(text) => Ok(Self::new(file, text)),
            Err(error) => Err(bad_utf8(file, bytes, error.valid_up_to())),
        }
    }

    /// Adds each included file that `read` finds. A file that it does not find is reported as
    /// [`FaultKind::MissingInclude`] when the text is parsed.
    ///
    /// # Errors
    /// An included file is not UTF-8.
    ///
    /// ```
    /// use nutmegsail_config::OperatorsText;
    /// let text = OperatorsText::new("main.toml", "services.a.include = \"more.toml\"");
    /// let text = text.with_includes(|name| (name == "more.toml").then(|| b"adapters = []".to_vec()))?;
    /// assert_eq!(text.includes.len(), 1);
    /// # Ok::<(), nutmegsail_config::Faults>(())
    /// ```
    pub fn with_includes(
        mut self,
        mut read: impl FnMut(&str) -> Option<Vec<u8>>,
    ) -> Result<Self, Faults> {
        for name in crate::text::included_names(&self.text) {
            if let Some(bytes) = read(&name) {
                let included = Self::from_bytes(&name, &bytes)?;
                self.includes.insert(included.file, included.text);
            }
        }
        Ok(self)
    }

    /// The total size of all files, in bytes.
    pub fn bytes(&self) -> usize {
        self.text.len() + self.includes.values().map(|text| text.len()).sum::<usize>()
    }

    /// The SHA-256 over the names and contents of all files.
    pub fn digest(&self) -> Digest {
        Digest::of(&self.encode())
    }

    /// Encodes all files as one string: a line of JSON with their names and lengths, then their
    /// contents.
    pub(crate) fn encode(&self) -> String {
        let mut header = vec![(Arc::clone(&self.file), self.text.len())];
        let mut contents = self.text.to_string();
        for (name, text) in &self.includes {
            header.push((Arc::clone(name), text.len()));
            contents.push_str(text);
        }
        let header = serde_json::to_string(&header).unwrap_or_default();
        format!("{header}\n{contents}")
    }

    /// Decodes the output of [`OperatorsText::encode`]; `None` if the input is malformed.
    pub(crate) fn decode(encoded: &str) -> Option<Self> {
        let (header, mut rest) = encoded.split_once('\n')?;
        let header: Vec<(Arc<str>, usize)> = serde_json::from_str(header).ok()?;
        let mut files = Vec::new();
        for (name, length) in header {
            let (text, after) = rest.split_at_checked(length)?;
            files.push((name, Arc::<str>::from(text)));
            rest = after;
        }
        let mut files = files.into_iter();
        let (file, text) = files.next()?;
        let includes = files.collect();
        rest.is_empty().then_some(Self {
            file,
            text,
            includes,
        })
    }
}

impl Digest {
    /// The SHA-256 of `text`.
    ///
    /// ```
    /// let digest = nutmegsail_config::Digest::of("");
    /// assert!(digest.0.starts_with("e3b0c442"));
    /// ```
    pub fn of(text: &str) -> Self {
        Self(hex::encode(Sha256::digest(text.as_bytes())).into())
    }
}

fn bad_utf8(file: &str, bytes: &[u8], at: usize) -> Faults {
    let before = String::from_utf8_lossy(&bytes[..at]);
    let line = before.matches('\n').count() + 1;
    let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
    Faults(vec![Fault {
        kind: FaultKind::Encoding,
        file: file.into(),
        line: u32::try_from(line).unwrap_or(u32::MAX),
        column: u32::try_from(column).unwrap_or(u32::MAX),
        message: format!("byte 0x{:02x} is not UTF-8", bytes[at]),
        fix: "save the file as UTF-8".to_owned(),
    }])
}
