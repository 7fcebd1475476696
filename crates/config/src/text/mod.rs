//! Parses the operators' text into a [`Deployment`] and collects every fault.
//!
//! The TOML tree is walked by hand instead of with a derived `Deserialize`, which would stop at the
//! first fault; operators need all faults of a text at once.

mod adapters;
mod calls;
mod collector;
mod cross_checks;
mod service;
mod table;
mod top;

pub(crate) use adapters::included_names;
use collector::FaultCollector;
use toml::de::DeTable;

use crate::{Deployment, FaultKind, Faults, MAX_TEXT_BYTES, OperatorsText};

impl Deployment {
    /// Parses and validates a text that includes no other file.
    ///
    /// # Errors
    /// Every fault of the text, each with its line and a suggested fix.
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

    /// Parses and validates a text together with the files that it includes.
    ///
    /// # Errors
    /// Every fault of the text and its included files.
    pub fn parse_text(text: &OperatorsText) -> Result<Self, Faults> {
        let mut collector = FaultCollector::new(&text.file, &text.text);
        if text.bytes() > MAX_TEXT_BYTES {
            let message = format!(
                "{} bytes are over the {MAX_TEXT_BYTES} allowed",
                text.bytes()
            );
            let fix = "write adapters as patterns, such as \"note-{0001..1500}\"";
            collector.add(0..0, FaultKind::TooLarge, message, fix);
            return Err(collector.into_faults());
        }
        let (table, syntax_errors) = DeTable::parse_recoverable(&text.text);
        for error in &syntax_errors {
            collector.add_syntax_error(error);
        }
        if !syntax_errors.is_empty() {
            return Err(collector.into_faults());
        }
        let deployment = top::read(&table, &text.includes, &mut collector);
        if collector.is_empty() {
            Ok(deployment)
        } else {
            Err(collector.into_faults())
        }
    }
}
