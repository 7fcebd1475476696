//! An answer as one JSON object, for callers that do not read streams.

use std::collections::BTreeMap;

use futures_util::StreamExt;
use nutmegsail_base::{RequestId, ResultCode};
use nutmegsail_request::{PieceCount, Refusal};
use nutmegsail_upstream::{AnswerEnd, StreamEvent};
use serde::{Deserialize, Serialize};

use crate::Answer;

const CHAT_PATH: &str = "/v1/chat/completions";

/// The text of an answer so far, by choice.
#[derive(Debug, Default)]
struct Choices {
    texts: BTreeMap<u32, String>,
    bytes: usize,
}

/// One piece as engines send it.
#[derive(Deserialize)]
struct Piece {
    choices: Vec<PieceChoice>,
}

#[derive(Deserialize)]
struct PieceChoice {
    #[serde(default)]
    index: u32,
    #[serde(default)]
    text: Option<String>,
    #[serde(default)]
    delta: Option<Delta>,
}

#[derive(Deserialize)]
struct Delta {
    #[serde(default)]
    content: Option<String>,
}

#[derive(Serialize)]
struct WholeAnswer {
    id: RequestId,
    object: &'static str,
    model: String,
    choices: Vec<WholeChoice>,
    count: u64,
}

#[derive(Serialize)]
struct WholeChoice {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Message>,
    finish_reason: String,
}

#[derive(Serialize)]
struct Message {
    role: &'static str,
    content: String,
}

/// Reads `answer` to its end and returns it as one JSON object. A part of one is never returned.
pub(crate) async fn read_whole(
    mut answer: Answer,
    request: &RequestId,
    path: &str,
    max_bytes: usize,
) -> Result<String, Refusal> {
    let mut pieces = PieceCount::from_start();
    let mut choices = Choices::default();
    while let Some(event) = answer.events.next().await {
        match event? {
            StreamEvent::Piece { id, json } => {
                pieces
                    .observe(id)
                    .map_err(|fault| Refusal::ran(fault.code(), fault.to_string()))?;
                choices.add(&json, max_bytes)?;
            }
            StreamEvent::End(end) => {
                pieces
                    .end(end.count)
                    .map_err(|fault| Refusal::ran(fault.code(), fault.to_string()))?;
                return choices.finish(&answer, request, path == CHAT_PATH, &end);
            }
        }
    }
    let detail = "the answer ended without an end event";
    Err(Refusal::ran(ResultCode::AnswerCut, detail))
}

impl Choices {
    fn add(&mut self, json: &[u8], max_bytes: usize) -> Result<(), Refusal> {
        let piece: Piece = serde_json::from_slice(json).map_err(|fault| {
            let detail = format!("a piece cannot be read: {fault}");
            Refusal::ran(ResultCode::UpstreamFailed, detail)
        })?;
        for choice in piece.choices {
            let content = choice.delta.and_then(|delta| delta.content);
            let text = choice.text.or(content).unwrap_or_default();
            self.bytes += text.len();
            if self.bytes > max_bytes {
                let detail =
                    format!("the answer has more than {max_bytes} bytes; read it as a stream");
                return Err(Refusal::ran(ResultCode::AnswerCut, detail));
            }
            self.texts.entry(choice.index).or_default().push_str(&text);
        }
        Ok(())
    }

    fn finish(
        self,
        answer: &Answer,
        request: &RequestId,
        is_chat: bool,
        end: &AnswerEnd,
    ) -> Result<String, Refusal> {
        let choice = |(index, text): (u32, String)| WholeChoice {
            index,
            text: (!is_chat).then(|| text.clone()),
            message: is_chat.then_some(Message {
                role: "assistant",
                content: text,
            }),
            finish_reason: end.reason.clone(),
        };
        let whole = WholeAnswer {
            id: request.clone(),
            object: if is_chat {
                "chat.completion"
            } else {
                "text_completion"
            },
            model: answer.adapter.to_string(),
            choices: self.texts.into_iter().map(choice).collect(),
            count: end.count,
        };
        serde_json::to_string(&whole)
            .map_err(|fault| Refusal::ran(ResultCode::Internal, fault.to_string()))
    }
}
