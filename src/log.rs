//! Logging as JSON lines on standard output that never blocks a call.
//!
//! Lines are collected in a buffer, which a separate thread writes out. If the reader is slow and the buffer
//! fills up, further lines are dropped, and their number is logged as soon as there is room.

use std::{
    io::{self, Write},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        mpsc::{SyncSender, TrySendError, sync_channel},
    },
};

use slog::{Drain, LevelFilter, Logger, o, warn};

/// Maximum size of the buffered lines in bytes: some thousand lines, a few seconds of a busy router.
const MAX_BUFFERED_BYTES: usize = 512 << 10;

/// Maximum number of batches queued for the writing thread.
const MAX_QUEUED_BATCHES: usize = 4;

#[derive(Debug, Default)]
struct PendingLines {
    buf: Vec<u8>,
    dropped: u64,
}

#[derive(Clone)]
struct Buffer(Arc<Mutex<PendingLines>>);

impl Buffer {
    /// Locks the buffered lines. A poisoned lock is ignored: a thread that panicked left only whole lines.
    fn lock(&self) -> MutexGuard<'_, PendingLines> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Write for Buffer {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut pending = self.lock();
        match pending.buf.len() + line.len() <= MAX_BUFFERED_BYTES {
            true => pending.buf.extend_from_slice(line),
            false => pending.dropped += 1,
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes whole lines to the buffer, as slog writes a line in many pieces.
struct LineDrain {
    buffer: Buffer,
}

impl Drain for LineDrain {
    type Ok = ();
    type Err = slog::Never;

    fn log(
        &self,
        record: &slog::Record<'_>,
        values: &slog::OwnedKVList,
    ) -> Result<(), slog::Never> {
        let mut line = Vec::with_capacity(320);
        let json = slog_json::Json::new(&mut line)
            .set_newlines(true)
            .set_flush(false)
            .add_key_value(o!(
                "ts_ms" => slog::FnValue(|_| unix_ms()),
                "level" => slog::FnValue(|r| r.level().as_short_str()),
                "msg" => slog::PushFnValue(|r, s| s.emit(r.msg())),
            ))
            .build();
        let logged = json.log(record, values).is_ok();
        drop(json);
        let mut buffer = self.buffer.clone();
        match logged {
            // Writing to memory does not fail.
            true => drop(buffer.write(&line)),
            false => self.buffer.lock().dropped += 1,
        }
        Ok(())
    }
}

fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |d| d.as_millis() as u64)
}

/// Passes the buffered lines to the writing thread.
pub struct LogFlusher {
    buffer: Buffer,
    batches: SyncSender<Vec<u8>>,
    log: Logger,
}

impl LogFlusher {
    /// Passes the buffered lines to the writing thread if its queue has room, and logs the number of dropped
    /// lines.
    pub fn flush(&self) {
        let (batch, left_out) = {
            let mut pending = self.buffer.lock();
            (
                std::mem::take(&mut pending.buf),
                std::mem::take(&mut pending.dropped),
            )
        };
        if left_out > 0 {
            warn!(self.log, "log lines dropped"; "lines" => left_out);
        }
        if batch.is_empty() {
            return;
        }
        if let Err(TrySendError::Full(batch)) = self.batches.try_send(batch) {
            let mut pending = self.buffer.lock();
            let newer = std::mem::replace(&mut pending.buf, batch);
            pending.buf.extend_from_slice(&newer);
        }
    }
}

/// Creates a logger that writes JSON lines to `out`, and the flusher that has to be called regularly.
///
/// Lines below `level` are discarded and not counted as dropped.
pub fn buffered(mut out: impl Write + Send + 'static, level: slog::Level) -> (Logger, LogFlusher) {
    let (batches, queue) = sync_channel::<Vec<u8>>(MAX_QUEUED_BATCHES);
    std::thread::spawn(move || {
        for batch in queue {
            // If the reader is gone, there is nowhere to report the error.
            let _ = out.write_all(&batch);
            let _ = out.flush();
        }
    });
    let buffer = Buffer(Arc::default());
    let drain = LineDrain {
        buffer: buffer.clone(),
    };
    let log = Logger::root(LevelFilter::new(drain, level).fuse(), o!());
    let flusher = LogFlusher {
        buffer,
        batches,
        log: log.clone(),
    };
    (log, flusher)
}
