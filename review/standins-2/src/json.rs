//! A small JSON reader and base64, so that the stand-ins need no libraries.

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut reader = Reader { bytes: text.as_bytes(), at: 0 };
        reader.value()
    }

    pub fn get(&self, key: &str) -> &Json {
        const NULL: Json = Json::Null;
        match self {
            Json::Table(fields) => fields.iter().find(|(name, _)| name == key).map_or(&NULL, |(_, value)| value),
            _ => &NULL,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.bytes.get(self.at).copied()
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                while self.peek()? != b'}' {
                    let name = self.string()?;
                    self.peek()?;
                    self.at += 1;
                    fields.push((name, self.value()?));
                    if self.peek()? == b',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Some(Json::Table(fields))
            }
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                while self.peek()? != b']' {
                    list.push(self.value()?);
                    if self.peek()? == b',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Some(Json::List(list))
            }
            b'"' => self.string().map(Json::Text),
            b't' => self.word(4, Json::Bool(true)),
            b'f' => self.word(5, Json::Bool(false)),
            b'n' => self.word(4, Json::Null),
            _ => {
                let from = self.at;
                while self.bytes.get(self.at).is_some_and(|byte| b"+-.eE0123456789".contains(byte)) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[from..self.at]).ok()?;
                text.parse().ok().map(Json::Number)
            }
        }
    }

    fn word(&mut self, length: usize, value: Json) -> Option<Json> {
        self.at += length;
        Some(value)
    }

    fn string(&mut self) -> Option<String> {
        self.peek()?;
        self.at += 1;
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => text.push(b'\n'),
                        b't' => text.push(b'\t'),
                        b'r' => text.push(b'\r'),
                        b'u' => {
                            let code = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?).ok()?;
                            let code = u32::from_str_radix(code, 16).ok()?;
                            self.at += 4;
                            let mut buffer = [0; 4];
                            let decoded = char::from_u32(code).unwrap_or('?');
                            text.extend_from_slice(decoded.encode_utf8(&mut buffer).as_bytes());
                        }
                        other => text.push(other),
                    }
                }
                other => text.push(other),
            }
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn to_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..chunk.len()].copy_from_slice(chunk);
        let word = u32::from(word[0]) << 16 | u32::from(word[1]) << 8 | u32::from(word[2]);
        for place in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * place) & 63) as usize] as char;
            text.push(if place <= chunk.len() { digit } else { '=' });
        }
    }
    text
}

pub fn from_base64(text: &str) -> Vec<u8> {
    let (mut bytes, mut word, mut bits) = (Vec::new(), 0u32, 0);
    for byte in text.bytes() {
        let Some(digit) = DIGITS.iter().position(|digit| *digit == byte) else { continue };
        word = word << 6 | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((word >> bits) as u8);
            word &= (1 << bits) - 1;
        }
    }
    bytes
}
