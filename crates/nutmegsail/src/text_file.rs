//! Reads an operators' text with the files that it includes.

use std::path::Path;
use std::sync::Arc;

use nutmegsail_config::{Deployment, OperatorsText};

use crate::CommandError;

/// A text that was read from files and has passed every check.
#[derive(Clone, Debug, PartialEq)]
pub struct TextFile {
    /// The text as read.
    pub text: OperatorsText,
    /// What it says.
    pub deployment: Deployment,
}

impl TextFile {
    /// Reads and checks the text at `path`. Included files are looked up beside it.
    ///
    /// # Errors
    ///
    /// [`CommandError::File`] if the text cannot be read, [`CommandError::Text`] with every fault.
    pub fn read(path: &Path) -> Result<Self, CommandError> {
        // An included file that is missing is a fault of the text, with the line that includes it.
        let text = read_file(path)?
            .with_includes(|name| std::fs::read(path.with_file_name(name)).ok())
            .map_err(CommandError::Text)?;
        let deployment = Deployment::parse_text(&text).map_err(CommandError::Text)?;
        Ok(Self { text, deployment })
    }

    /// The text to publish. It holds the file's name without the operator's directories, so that
    /// the same text has the same digest wherever it is applied from.
    pub fn to_publish(&self) -> OperatorsText {
        let name = Path::new(&*self.text.file).file_name();
        let name = name.map_or_else(|| "text.toml".into(), |name| name.to_string_lossy());
        OperatorsText {
            file: Arc::from(name.as_ref()),
            ..self.text.clone()
        }
    }
}

fn read_file(path: &Path) -> Result<OperatorsText, CommandError> {
    let file = path.display().to_string();
    let bytes = std::fs::read(path).map_err(|error| CommandError::File {
        path: file.clone(),
        why: error.to_string(),
    })?;
    OperatorsText::from_bytes(&file, &bytes).map_err(CommandError::Text)
}
