//! The parts of HTTP/1.1 that the stand-ins speak.

use std::{
    io::{self, Read, Write},
    net::TcpStream,
};

/// Head of a request or an answer.
#[derive(Debug, Clone, Default)]
pub struct Head {
    /// First line.
    pub start: String,
    headers: Vec<(String, String)>,
}

impl Head {
    /// Returns a header by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Returns the path and the query of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    /// Returns the announced length of the body.
    pub fn length(&self) -> usize {
        let length = self.header("content-length");
        length.and_then(|n| n.parse().ok()).unwrap_or(0)
    }

    /// Returns whether the body comes in chunks.
    pub fn is_chunked(&self) -> bool {
        self.header("transfer-encoding")
            .is_some_and(|v| v.eq_ignore_ascii_case("chunked"))
    }
}

/// A connection with what was read ahead.
pub struct Conn {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    /// Reads more; fails at the end of the connection.
    fn fill(&mut self) -> io::Result<()> {
        let mut block = [0; 64 << 10];
        match self.stream.read(&mut block)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            n => {
                self.buf.extend_from_slice(&block[..n]);
                Ok(())
            }
        }
    }

    /// Reads a head.
    pub fn head(&mut self) -> io::Result<Head> {
        let end = loop {
            let found = self.buf.windows(4).position(|w| w == b"\r\n\r\n");
            if let Some(at) = found {
                break at;
            }
            self.fill()?;
        };
        let text = String::from_utf8_lossy(&self.buf[..end]).into_owned();
        self.buf.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let start = lines.next().unwrap_or_default().to_owned();
        let split = |line: &str| {
            let (name, value) = line.split_once(':')?;
            Some((name.trim().to_lowercase(), value.trim().to_owned()))
        };
        Ok(Head {
            start,
            headers: lines.filter_map(split).collect(),
        })
    }

    /// Reads `n` bytes.
    pub fn bytes(&mut self, n: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < n {
            self.fill()?;
        }
        Ok(self.buf.drain(..n).collect())
    }

    /// Reads a chunk; an empty one is the last.
    pub fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let end = loop {
            match self.buf.windows(2).position(|w| w == b"\r\n") {
                Some(at) => break at,
                None => self.fill()?,
            }
        };
        let size = String::from_utf8_lossy(&self.buf[..end]).into_owned();
        self.buf.drain(..end + 2);
        let size = usize::from_str_radix(size.trim(), 16);
        let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let bytes = self.bytes(size)?;
        self.bytes(2)?;
        Ok(bytes)
    }

    /// Reads the whole body that a head announces.
    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if !head.is_chunked() {
            return self.bytes(head.length());
        }
        let mut all = Vec::new();
        loop {
            let chunk = self.chunk()?;
            if chunk.is_empty() {
                return Ok(all);
            }
            all.extend(chunk);
        }
    }

    /// Writes bytes.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Writes an answer with a length.
    pub fn answer(&mut self, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
        let length = body.len();
        let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n");
        let mut all = head.into_bytes();
        all.extend_from_slice(body);
        self.send(&all)
    }
}
