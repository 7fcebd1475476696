//! Answers one request of an operator.

use std::sync::Arc;

use http::{Method, Response, StatusCode};
use nutmegsail_base::RequestId;
use nutmegsail_request::{Refusal, Request};
use percent_encoding::percent_decode_str;

use crate::response::{AnswerBody, json_response, refusal_response, set_allow};
use crate::route::{RouteFault, only, unknown_path};
use crate::{Handler, OperatorsQuery};

/// Answers the requests of operators.
pub(crate) struct OperatorsService {
    pub handler: Arc<dyn Handler>,
}

impl OperatorsService {
    /// Answers one request. Its body is not read.
    pub async fn answer(
        &self,
        id: &RequestId,
        method: &Method,
        path: &str,
        query: Option<&str>,
    ) -> Response<AnswerBody> {
        let reply = match find(method, path, query) {
            Ok(Some(query)) => self.handler.operators(query).await,
            Ok(None) => Ok(r#"{"healthy":true}"#.into()),
            Err(fault) => return refuse(fault, id),
        };
        match reply {
            Ok(json) => json_response(StatusCode::OK, json),
            Err(refusal) => refusal_response(&refusal, id),
        }
    }
}

fn find(
    method: &Method,
    path: &str,
    query: Option<&str>,
) -> Result<Option<OperatorsQuery>, RouteFault> {
    let query = match path {
        "/healthz" => return only(method, &[Method::GET, Method::HEAD], "GET, HEAD", None),
        "/operators/status" => OperatorsQuery::Status,
        "/operators/explain" => explain(query.unwrap_or_default()),
        "/operators/drain" => {
            let drain = Some(OperatorsQuery::Drain);
            return only(method, &[Method::POST], "POST", drain);
        }
        _ => return Err(unknown_path(path)),
    };
    only(method, &[Method::GET], "GET", Some(query))
}

fn explain(query: &str) -> OperatorsQuery {
    let value = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.find(|(key, _)| *key == name)?;
        let decoded = percent_decode_str(value).decode_utf8_lossy().into_owned();
        Some(decoded)
    };
    OperatorsQuery::Explain {
        service: value("service"),
        adapter: value("adapter"),
        call: value("call"),
        class: value("class"),
    }
}

fn refuse(route: RouteFault, id: &RequestId) -> Response<AnswerBody> {
    let refusal: Refusal = route.fault.refuse(Request::accept(id.clone()));
    let mut response = refusal_response(&refusal, id);
    if let Some(methods) = route.allow {
        set_allow(response.headers_mut(), methods);
    }
    response
}
