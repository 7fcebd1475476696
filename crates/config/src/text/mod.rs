//! Reads the operators' text into a [`Deployment`], gathering every fault on the way.
//!
//! The reader walks the parsed TOML by hand instead of deriving it: a derived reader stops at its
//! first fault, and operators who mend a text want to see them all.

mod adapters;
mod calls;
mod cross_checks;
mod gather;
mod service;
mod table;
mod top;

pub(crate) use adapters::included_names;
use gather::Gather;
use toml::de::DeTable;

use crate::{Deployment, FaultKind, Faults, OperatorsText, TEXT_BYTES_MAX};

impl Deployment {
    /// Reads and checks a text that includes no other file.
    ///
    /// # Errors
    /// Every fault of the text, each with its line and what to write instead.
    ///
    /// ```
    /// use nutmegsail_config::Deployment;
    ///
    /// let text = r#"
    /// [deployment]
    /// name = "small"
    /// failure_domains = ["hall"]
    ///
    /// [services.desk]
    /// kind = "plain"
    /// deadline_ms = 1500
    /// upstreams.hall = ["127.0.0.1:9001"]
    /// "#;
    /// let deployment = Deployment::parse(text, "small.toml")?;
    /// assert_eq!(deployment.services.len(), 1);
    /// # Ok::<(), nutmegsail_config::Faults>(())
    /// ```
    pub fn parse(text: &str, file: &str) -> Result<Self, Faults> {
        Self::parse_text(&OperatorsText::new(file, text))
    }

    /// Reads and checks a text with the files that it includes.
    ///
    /// # Errors
    /// Every fault of the text and its included files.
    pub fn parse_text(text: &OperatorsText) -> Result<Self, Faults> {
        let mut gather = Gather::new(&text.file, &text.text);
        if text.bytes() > TEXT_BYTES_MAX {
            let message = format!(
                "{} bytes are over the {TEXT_BYTES_MAX} allowed",
                text.bytes()
            );
            let fix = "write adapters as patterns, such as \"note-{0001..1500}\"";
            gather.add(0..0, FaultKind::TooLarge, message, fix);
            return Err(gather.into_faults());
        }
        let (table, syntax_errors) = DeTable::parse_recoverable(&text.text);
        for error in &syntax_errors {
            gather.add_syntax(error);
        }
        if !syntax_errors.is_empty() {
            return Err(gather.into_faults());
        }
        let deployment = top::read(&table, &text.includes, &mut gather);
        if gather.is_empty() {
            Ok(deployment)
        } else {
            Err(gather.into_faults())
        }
    }
}
