//! The log: numbered events on standard error or standard output.

use std::cell::RefCell;
use std::num::NonZeroUsize;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use async_io::Timer;
use onyxshed_core::event::Level;
use onyxshed_core::{Event, EventKind};
use onyxshed_settings::{LogFormat, LogLevel, LogSettings};
use spdlog::formatter::{PatternFormatter, pattern};
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, Sink, StdStream, StdStreamSink};
use spdlog::{LevelFilter, Logger, ThreadPool};

use crate::budget::{Budget, LineDecision};
use crate::error::{Error, Result};
use crate::line;

/// Largest number of queued lines; any further line is dropped.
const QUEUED_LINES_MAX: usize = 4_096;

/// Longest text of a line, in bytes: callers choose some of them, and all queued lines may be as long.
const TEXT_MAX_BYTES: usize = 512;

/// Longest time that [`Log::flush`] waits for queued lines.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// How often [`Log::flush`] checks whether all lines are written.
const FLUSH_CHECK_PERIOD: Duration = Duration::from_millis(2);

/// Writes events as lines, on a thread of the log library.
///
/// If the reader of standard error stops reading, a write to it blocks, and would block every
/// request of the process. Lines are therefore queued for another thread. When the bounded queue is
/// full, lines are dropped and counted, and requests continue.
pub struct Log {
    logger: Logger,
    format: LogFormat,
    level: Level,
    counts: Arc<Counts>,
    pool: Arc<ThreadPool>,
    opened_at: Instant,
    budget: Option<RefCell<Budget>>,
}

/// Counters of lines: queued, completed (written, failed or dropped from the queue) and dropped.
#[derive(Debug, Default)]
struct Counts {
    queued: AtomicU64,
    completed: AtomicU64,
    dropped: AtomicU64,
}

impl Log {
    /// Opens the log on standard error.
    pub fn open(settings: LogSettings) -> Result<Self> {
        Log::open_on(settings, StdStream::Stderr)
    }

    /// Opens the log on standard output, for a process that writes nothing else there.
    pub fn open_on_stdout(settings: LogSettings) -> Result<Self> {
        Log::open_on(settings, StdStream::Stdout)
    }

    fn open_on(settings: LogSettings, stream: StdStream) -> Result<Self> {
        let builder = StdStreamSink::builder().std_stream(stream);
        let sink = match settings.format {
            LogFormat::Human => builder.formatter(PatternFormatter::new(pattern!(
                "{date} {time}.{millisecond} {^{level}} {payload}{eol}"
            ))),
            LogFormat::Json => builder.formatter(PatternFormatter::new(pattern!("{payload}{eol}"))),
        };
        let sink = sink.build_arc().map_err(Error::log)?;
        Log::with_sink(settings, sink).map(Log::rate_limited)
    }

    /// Limits the lines per second to the [`Budget`].
    pub fn rate_limited(mut self) -> Self {
        self.budget = Some(RefCell::default());
        self
    }

    /// Opens the log on any sink of the library, without a limit on lines per second.
    pub fn with_sink(settings: LogSettings, sink: Arc<dyn Sink>) -> Result<Self> {
        let counts = Arc::new(Counts::default());
        let capacity = NonZeroUsize::new(QUEUED_LINES_MAX).expect("QUEUED_LINES_MAX is not zero");
        let pool = ThreadPool::builder()
            .capacity(capacity)
            .build_arc()
            .map_err(Error::log)?;
        let sink = AsyncPoolSink::builder()
            .sink(Arc::new(CountingSink::new(sink, counts.clone())))
            .overflow_policy(OverflowPolicy::DropIncoming)
            .thread_pool(pool.clone())
            .build_arc()
            .map_err(Error::log)?;
        Ok(Log {
            logger: logger(sink, counts.clone())?,
            format: settings.format,
            level: core_level(settings.level),
            counts,
            pool,
            opened_at: Instant::now(),
            budget: None,
        })
    }

    /// Writes an event if its level is at least the log's level and the budget allows it.
    pub fn write(&self, event: &Event) {
        let level = event.kind.level();
        if level < self.level {
            return;
        }
        let second = self.opened_at.elapsed().as_secs();
        let budget = self.budget.as_ref();
        let decision = budget.map(|budget| budget.borrow_mut().decide(second, level));
        match decision.unwrap_or(LineDecision::Write) {
            LineDecision::Drop => {
                self.counts.dropped.fetch_add(1, Ordering::Relaxed);
            }
            LineDecision::Write => self.write_line(event),
            LineDecision::WriteAfterDropped(count) => {
                let detail = smol_str::format_smolstr!("{count} lines");
                self.write_line(&Event::new(EventKind::LogLinesLeftOut).detail(detail));
                self.write_line(event);
            }
        }
    }

    fn write_line(&self, event: &Event) {
        self.counts.queued.fetch_add(1, Ordering::Relaxed);
        let event = event.clone().with_texts_up_to(TEXT_MAX_BYTES);
        let line = line::format(&event, self.format);
        let level = library_level(event.kind.level());
        spdlog::log!(logger: self.logger, level, "{line}");
    }

    /// Returns how many lines were dropped: over the budget, over the queue's limit or because the
    /// write failed.
    pub fn dropped(&self) -> u64 {
        self.counts.dropped.load(Ordering::Relaxed)
    }

    /// Waits until every queued line is written, for at most one second.
    pub async fn flush(&self) {
        let start = Instant::now();
        while self.has_unwritten_lines() && start.elapsed() < FLUSH_TIMEOUT {
            Timer::after(FLUSH_CHECK_PERIOD).await;
        }
    }

    fn has_unwritten_lines(&self) -> bool {
        let completed = self.counts.completed.load(Ordering::Relaxed);
        completed < self.counts.queued.load(Ordering::Relaxed)
    }
}

impl Drop for Log {
    /// Dropping the last handle of the pool joins its thread, which blocks forever if standard
    /// error is not read, and the process would never exit. In that case one handle is leaked, and
    /// the thread ends with the process.
    fn drop(&mut self) {
        if self.has_unwritten_lines() {
            std::mem::forget(self.pool.clone());
        }
    }
}

/// Creates a logger that counts the lines dropped because the queue is full.
fn logger(sink: Arc<dyn Sink>, counts: Arc<Counts>) -> Result<Logger> {
    let count_dropped = move |_| {
        counts.dropped.fetch_add(1, Ordering::Relaxed);
        counts.completed.fetch_add(1, Ordering::Relaxed);
    };
    Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::All)
        .error_handler(count_dropped)
        .build()
        .map_err(Error::log)
}

/// A sink that passes lines on to `inner`. Counts each line as completed, and also as dropped if
/// the write failed.
struct CountingSink {
    inner: Arc<dyn Sink>,
    counts: Arc<Counts>,
}

impl CountingSink {
    fn new(inner: Arc<dyn Sink>, counts: Arc<Counts>) -> Self {
        CountingSink { inner, counts }
    }
}

impl spdlog::sink::SinkPropAccess for CountingSink {
    fn level_filter(&self) -> LevelFilter {
        self.inner.level_filter()
    }

    fn set_level_filter(&self, level_filter: LevelFilter) {
        self.inner.set_level_filter(level_filter);
    }

    fn set_formatter(&self, formatter: Box<dyn spdlog::formatter::Formatter>) {
        self.inner.set_formatter(formatter);
    }

    fn set_error_handler(&self, handler: spdlog::ErrorHandler) {
        self.inner.set_error_handler(handler);
    }
}

impl Sink for CountingSink {
    fn log(&self, record: &spdlog::Record) -> spdlog::Result<()> {
        let result = self.inner.log(record);
        self.counts.completed.fetch_add(1, Ordering::Relaxed);
        // Not returned as an error: if standard error is closed, the library would report it there
        // with every line.
        if result.is_err() {
            self.counts.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        self.inner.flush()
    }
}

fn core_level(level: LogLevel) -> Level {
    match level {
        LogLevel::Debug => Level::Debug,
        LogLevel::Info => Level::Info,
        LogLevel::Warn => Level::Warn,
        LogLevel::Error => Level::Error,
    }
}

fn library_level(level: Level) -> spdlog::Level {
    match level {
        Level::Debug => spdlog::Level::Debug,
        Level::Info => spdlog::Level::Info,
        Level::Warn => spdlog::Level::Warn,
        Level::Error => spdlog::Level::Error,
    }
}
