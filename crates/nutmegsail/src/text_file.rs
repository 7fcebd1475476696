//! Reads an operators' text with the files that it includes.

use std::path::Path;
use std::sync::Arc;

use nutmegsail_config::{Deployment, Faults, OperatorsText};

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
        let mut text = read_file(path)?;
        for name in included(&text.text) {
            let beside = path.with_file_name(&*name);
            // A file that is missing is a fault of the text, with the line that includes it.
            if let Ok(bytes) = std::fs::read(&beside) {
                let file = beside.display().to_string();
                let include = OperatorsText::from_bytes(&file, &bytes);
                let include = include.map_err(CommandError::Text)?;
                text = text.include(name, include.text);
            }
        }
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
    OperatorsText::from_bytes(&file, &bytes).map_err(|faults: Faults| CommandError::Text(faults))
}

/// The names that the text's services include. A text that is no TOML includes nothing; its faults
/// are found when it is parsed.
fn included(text: &str) -> Vec<Arc<str>> {
    let Ok(table) = text.parse::<toml::Table>() else {
        return Vec::new();
    };
    let services = table.get("services").and_then(toml::Value::as_table);
    let includes = services
        .into_iter()
        .flat_map(toml::Table::values)
        .filter_map(|service| service.get("include"));
    let mut names = Vec::new();
    for include in includes {
        match include {
            toml::Value::String(name) => names.push(name.as_str().into()),
            toml::Value::Array(list) => {
                let list = list.iter().filter_map(toml::Value::as_str);
                names.extend(list.map(Arc::from));
            }
            _ => {}
        }
    }
    names
}
