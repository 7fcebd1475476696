//! Malformed answers, for tests of the clients. Other crates' tests include it.

/// An answer that would be sound but for its status line or the lines that frame its body.
#[derive(Clone, Copy, Debug)]
pub enum Malformed {
    UnknownCoding,
    UnknownCodingFirst,
    ChunksTwice,
    ChunksAndLength,
    NoNumber,
    TwoLengths,
    NoField,
    BlankInName,
    Status(&'static str),
    /// The field that frames the body has another name, and the connection is said to stay open.
    NoFraming,
    /// A line feed before the field that frames the body.
    LineFeed,
}

impl Malformed {
    pub const ALL: [Self; 13] = [
        Self::UnknownCoding,
        Self::UnknownCodingFirst,
        Self::ChunksTwice,
        Self::ChunksAndLength,
        Self::NoNumber,
        Self::TwoLengths,
        Self::NoField,
        Self::BlankInName,
        Self::Status("000"),
        Self::Status("101"),
        Self::Status("600"),
        Self::NoFraming,
        Self::LineFeed,
    ];

    /// The bytes of an answer with further headers (each ending in `\r\n`) and a body.
    pub fn answer(self, headers: &str, body: &str) -> Vec<u8> {
        let length = body.len();
        let chunks = format!("{length:x}\r\n{body}\r\n0\r\n\r\n");
        let status = match self {
            Self::Status(status) => status,
            _ => "200",
        };
        let (lines, body) = match self {
            Self::UnknownCoding => ("transfer-encoding: chunke\r\n".to_owned(), chunks),
            Self::UnknownCodingFirst => ("transfer-encoding: gzip, chunked\r\n".to_owned(), chunks),
            Self::ChunksTwice => ("transfer-encoding: chunked, chunked\r\n".to_owned(), chunks),
            Self::ChunksAndLength => {
                let lines = format!("content-length: {length}\r\ntransfer-encoding: chunked\r\n");
                (lines, chunks)
            }
            Self::NoNumber => (format!("content-length: {length}x\r\n"), body.to_owned()),
            Self::TwoLengths => (format!("content-length: {length}, 1\r\n"), body.to_owned()),
            Self::NoField => (
                format!("spoilt\r\ncontent-length: {length}\r\n"),
                body.to_owned(),
            ),
            Self::LineFeed => (format!("\ncontent-length: {length}\r\n"), body.to_owned()),
            Self::NoFraming => (
                "keep-alive: timeout=5\r\ntransfer-encodinh: chunked\r\n".to_owned(),
                chunks,
            ),
            Self::Status(_) => (format!("content-length: {length}\r\n"), body.to_owned()),
            Self::BlankInName => (
                format!("x note: 1\r\ncontent-length: {length}\r\n"),
                body.to_owned(),
            ),
        };
        format!("HTTP/1.1 {status} OK\r\n{headers}{lines}\r\n{body}").into_bytes()
    }
}
