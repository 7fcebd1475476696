//! `nutmegsail explain`: why has a call its class and deadline, and why does a request go where it
//! goes?

use std::path::Path;

use nutmegsail_base::{CallName, Class, ServiceName};
use nutmegsail_config::Derivation;
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};

use crate::{CommandError, NodeClient, ReadableJson, TextFile};

/// What to ask a node about.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExplainQuery {
    /// A service, or an adapter as `name@version`.
    pub subject: String,
    /// The kind of call.
    pub call: Option<String>,
    /// The class, in place of the one that the text gives.
    pub class: Option<Class>,
}

impl ExplainQuery {
    /// The path and query that ask a node.
    ///
    /// ```
    /// use nutmegsail::ExplainQuery;
    /// let query = ExplainQuery { subject: "note@2".to_owned(), ..ExplainQuery::default() };
    /// assert_eq!(query.path(), "/operators/explain?adapter=note%402");
    /// ```
    pub fn path(&self) -> String {
        let name = if self.subject.contains('@') {
            "adapter"
        } else {
            "service"
        };
        let class = self.class.map(|class| class.to_string());
        let pairs = [
            (name, Some(&self.subject)),
            ("call", self.call.as_ref()),
            ("class", class.as_ref()),
        ];
        let pairs = pairs.iter().filter_map(|(name, value)| {
            let value = utf8_percent_encode(value.as_deref()?, NON_ALPHANUMERIC);
            Some(format!("{name}={value}"))
        });
        let pairs: Vec<String> = pairs.collect();
        format!("/operators/explain?{}", pairs.join("&"))
    }
}

/// Asks the node at `address` why a request would go where it would go.
///
/// # Errors
///
/// The node cannot be reached, or does not know the service or adapter.
pub async fn explain_at_node(
    address: &str,
    query: &ExplainQuery,
) -> Result<ReadableJson, CommandError> {
    let answer = NodeClient::default().get(address, &query.path()).await?;
    ReadableJson::parse(&answer).map_err(|error| CommandError::NodeUnreachable {
        address: address.to_owned(),
        why: format!("its answer cannot be read: {error}"),
    })
}

/// Explains a call's class, deadline and slack from the text at `path` alone.
///
/// # Errors
///
/// The text cannot be read, has faults, or has no such service or call.
pub fn explain_text(
    path: &Path,
    service: &str,
    call: Option<&str>,
) -> Result<Derivation, CommandError> {
    let file = TextFile::read(path)?;
    let call = call.map(CallName::from);
    file.deployment
        .explain(&ServiceName::from(service), call.as_ref())
        .map_err(|error| CommandError::Usage(format!("{}: {error}", error.code())))
}
