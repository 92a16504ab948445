//! The record of a case: what was sent, answered and run.

use std::{
    fs::File,
    io::{self, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// A file of lines, each with the time since its start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            began: Instant::now(),
        })
    }

    /// Returns the seconds since the start.
    pub fn seconds(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    /// Adds a line.
    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} s  {text}\n", self.seconds());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}
