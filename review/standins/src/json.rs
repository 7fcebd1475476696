//! A small JSON reader and writer.

use std::collections::BTreeMap;
use std::fmt;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Self> {
        let mut parser = Parser {
            text: text.as_bytes(),
            at: 0,
        };
        parser.value()
    }

    pub fn get(&self, key: &str) -> &Self {
        match self {
            Self::Table(fields) => fields.get(key).unwrap_or(&Self::Null),
            _ => &Self::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Self::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Self] {
        match self {
            Self::List(items) => items,
            _ => &[],
        }
    }
}

struct Parser<'a> {
    text: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.space();
        (self.text.get(self.at) == Some(&byte)).then(|| self.at += 1)
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match *self.text.get(self.at)? {
            b'{' => {
                self.at += 1;
                let mut fields = BTreeMap::new();
                if self.take(b'}').is_some() {
                    return Some(Json::Table(fields));
                }
                loop {
                    self.space();
                    let key = self.string()?;
                    self.take(b':')?;
                    fields.insert(key, self.value()?);
                    if self.take(b',').is_none() {
                        self.take(b'}')?;
                        return Some(Json::Table(fields));
                    }
                }
            }
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                if self.take(b']').is_some() {
                    return Some(Json::List(items));
                }
                loop {
                    items.push(self.value()?);
                    if self.take(b',').is_none() {
                        self.take(b']')?;
                        return Some(Json::List(items));
                    }
                }
            }
            b'"' => self.string().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => {
                let from = self.at;
                let is_part = |byte: &u8| b"+-.eE0123456789".contains(byte);
                while self.text.get(self.at).is_some_and(is_part) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.text[from..self.at]).ok()?;
                text.parse().ok().map(Json::Number)
            }
        }
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let rest = &self.text[self.at..];
        rest.starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut bytes = Vec::new();
        loop {
            match *self.text.get(self.at)? {
                b'"' => {
                    self.at += 1;
                    return String::from_utf8(bytes).ok();
                }
                b'\\' => {
                    let escaped = *self.text.get(self.at + 1)?;
                    self.at += 2;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'u' => {
                            let digits = self.text.get(self.at..self.at + 4)?;
                            let code = u32::from_str_radix(std::str::from_utf8(digits).ok()?, 16);
                            self.at += 4;
                            let read = char::from_u32(code.ok()?)?;
                            bytes.extend(read.to_string().into_bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                byte => {
                    bytes.push(byte);
                    self.at += 1;
                }
            }
        }
    }
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Null => write!(f, "null"),
            Self::Bool(value) => write!(f, "{value}"),
            Self::Number(number) => write!(f, "{number}"),
            Self::Text(text) => {
                let text = text.replace('\\', "\\\\").replace('"', "\\\"");
                write!(f, "\"{}\"", text.replace('\n', "\\n"))
            }
            Self::List(items) => {
                write!(f, "[")?;
                for (place, item) in items.iter().enumerate() {
                    write!(f, "{}{item}", if place > 0 { "," } else { "" })?;
                }
                write!(f, "]")
            }
            Self::Table(fields) => {
                write!(f, "{{")?;
                for (place, (key, value)) in fields.iter().enumerate() {
                    write!(f, "{}\"{key}\":{value}", if place > 0 { "," } else { "" })?;
                }
                write!(f, "}}")
            }
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Standard base64 with padding.
pub fn to_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let byte = |at: usize| u32::from(part.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for place in 0..4 {
            if place > part.len() {
                text.push('=');
            } else {
                let digit = bits >> (18 - 6 * place) & 63;
                text.push(char::from(DIGITS[digit as usize]));
            }
        }
    }
    text
}

pub fn from_base64(text: &str) -> Vec<u8> {
    let (mut bytes, mut bits, mut count) = (Vec::new(), 0_u32, 0);
    for byte in text.bytes().filter(|byte| *byte != b'=') {
        let digit = DIGITS.iter().position(|digit| *digit == byte).unwrap_or(0);
        bits = bits << 6 | digit as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count) as u8);
            bits &= (1 << count) - 1;
        }
    }
    bytes
}
