//! A small JSON reader, for the bodies that routers send to the store.

/// A JSON value; numbers are kept as text.
#[derive(Debug, Clone)]
pub enum Json {
    Null,
    Bool,
    Number(String),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    /// Parses a text; `None` if it is not JSON.
    pub fn parse(text: &str) -> Option<Self> {
        let mut reader = Reader {
            chars: text.chars().collect(),
            at: 0,
        };
        reader.value()
    }

    /// Returns the field of a table.
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Self::Table(fields) => fields.iter().find(|(n, _)| n == name).map(|(_, v)| v),
            _ => None,
        }
    }

    /// Returns the text of a field.
    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Self::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    /// Returns the whole number in a field, 0 without one.
    pub fn number(&self, name: &str) -> u64 {
        match self.get(name) {
            Some(Self::Number(text)) => text.parse().unwrap_or(0),
            _ => 0,
        }
    }

    /// Returns the entries of a list in a field.
    pub fn list(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Self::List(list)) => list,
            _ => &[],
        }
    }
}

struct Reader {
    chars: Vec<char>,
    at: usize,
}

impl Reader {
    fn peek(&mut self) -> Option<char> {
        while self.chars.get(self.at).is_some_and(|c| c.is_whitespace()) {
            self.at += 1;
        }
        self.chars.get(self.at).copied()
    }

    fn take(&mut self, c: char) -> Option<()> {
        (self.peek()? == c).then(|| self.at += 1)
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            '{' => self.table(),
            '[' => self.list(),
            '"' => self.text().map(Json::Text),
            'n' => self.word("null", Json::Null),
            't' => self.word("true", Json::Bool),
            'f' => self.word("false", Json::Bool),
            _ => self.number(),
        }
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.at += word.len();
        Some(value)
    }

    fn number(&mut self) -> Option<Json> {
        let start = self.at;
        let is_part = |c: &char| c.is_ascii_digit() || "+-.eE".contains(*c);
        while self.chars.get(self.at).is_some_and(is_part) {
            self.at += 1;
        }
        let text: String = self.chars[start..self.at].iter().collect();
        (!text.is_empty()).then_some(Json::Number(text))
    }

    fn text(&mut self) -> Option<String> {
        self.take('"')?;
        let mut text = String::new();
        loop {
            let c = *self.chars.get(self.at)?;
            self.at += 1;
            match c {
                '"' => return Some(text),
                '\\' => text.push(self.escaped()?),
                c => text.push(c),
            }
        }
    }

    fn escaped(&mut self) -> Option<char> {
        let c = *self.chars.get(self.at)?;
        self.at += 1;
        match c {
            'n' => Some('\n'),
            't' => Some('\t'),
            'r' => Some('\r'),
            'u' => {
                let hex: String = self.chars.get(self.at..self.at + 4)?.iter().collect();
                self.at += 4;
                char::from_u32(u32::from_str_radix(&hex, 16).ok()?)
            }
            c => Some(c),
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.take('[')?;
        let mut list = Vec::new();
        while self.peek()? != ']' {
            list.push(self.value()?);
            if self.peek()? == ',' {
                self.at += 1;
            }
        }
        self.at += 1;
        Some(Json::List(list))
    }

    fn table(&mut self) -> Option<Json> {
        self.take('{')?;
        let mut fields = Vec::new();
        while self.peek()? != '}' {
            self.peek()?;
            let name = self.text()?;
            self.take(':')?;
            fields.push((name, self.value()?));
            if self.peek()? == ',' {
                self.at += 1;
            }
        }
        self.at += 1;
        Some(Json::Table(fields))
    }
}
