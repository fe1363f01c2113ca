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

use crate::budget::{Budget, Verdict};
use crate::error::{Error, Result};
use crate::line;

/// Most lines that wait to be written.
const LINES_MAX: usize = 8_192;

/// Longest wait at the end for lines that still wait.
const FINISH_TIMEOUT: Duration = Duration::from_secs(1);

/// How often the end looks whether all is written.
const FINISH_PAUSE: Duration = Duration::from_millis(2);

/// Writes events as lines, on a thread of the log library's own.
///
/// Failure guarded against: whoever reads standard error stops reading. Symptom: the write blocks
/// and with it every request of the process. Lines therefore wait in a bounded queue for another
/// thread; when it is full they are dropped and counted, and requests go on.
pub struct Log {
    logger: Logger,
    format: LogFormat,
    level: Level,
    counts: Arc<Counts>,
    pool: Arc<ThreadPool>,
    opened: Instant,
    budget: Option<RefCell<Budget>>,
}

/// Lines by what became of them.
#[derive(Debug, Default)]
struct Counts {
    queued: AtomicU64,
    ended: AtomicU64,
    dropped: AtomicU64,
}

impl Log {
    /// Tries to open the log on standard error.
    pub fn open(settings: LogSettings) -> Result<Self> {
        Log::open_on(settings, StdStream::Stderr)
    }

    /// Tries to open the log on standard output, for a process that says nothing else there.
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
        Log::with_sink(settings, sink).map(Log::bounded)
    }

    /// Bounds the lines a second.
    pub fn bounded(mut self) -> Self {
        self.budget = Some(RefCell::default());
        self
    }

    /// Tries to open the log on any sink of the library, without a bound on lines a second.
    pub fn with_sink(settings: LogSettings, sink: Arc<dyn Sink>) -> Result<Self> {
        let counts = Arc::new(Counts::default());
        let capacity = NonZeroUsize::new(LINES_MAX).expect("the bound is not zero");
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
            level: level_of(settings.level),
            counts,
            pool,
            opened: Instant::now(),
            budget: None,
        })
    }

    /// Writes an event, if it is loud enough.
    pub fn write(&self, event: &Event) {
        let level = event.kind.level();
        if level < self.level {
            return;
        }
        let second = self.opened.elapsed().as_secs();
        let budget = self.budget.as_ref();
        let verdict = budget.map(|budget| budget.borrow_mut().decide(second, level));
        match verdict.unwrap_or(Verdict::Write) {
            Verdict::LeaveOut => {
                self.counts.dropped.fetch_add(1, Ordering::Relaxed);
            }
            Verdict::Write => self.write_line(event),
            Verdict::WriteAfter(count) => {
                let detail = smol_str::format_smolstr!("{count} lines");
                self.write_line(&Event::new(EventKind::LogLinesLeftOut).detail(detail));
                self.write_line(event);
            }
        }
    }

    fn write_line(&self, event: &Event) {
        self.counts.queued.fetch_add(1, Ordering::Relaxed);
        let line = line::format(event, self.format);
        let level = library_level(event.kind.level());
        spdlog::log!(logger: self.logger, level, "{line}");
    }

    /// Gets how many lines were dropped because too many waited.
    pub fn dropped(&self) -> u64 {
        self.counts.dropped.load(Ordering::Relaxed)
    }

    /// Waits until every line is written, for a bounded time.
    pub async fn finish(&self) {
        let start = Instant::now();
        while self.is_writing() && start.elapsed() < FINISH_TIMEOUT {
            Timer::after(FINISH_PAUSE).await;
        }
    }

    fn is_writing(&self) -> bool {
        let ended = self.counts.ended.load(Ordering::Relaxed);
        ended < self.counts.queued.load(Ordering::Relaxed)
    }
}

impl Drop for Log {
    /// Failure guarded against: the last handle of the pool joins its thread, which hangs for ever
    /// if nobody reads standard error. Symptom: the process never exits. One handle is left behind
    /// then; the process's end takes the thread with it.
    fn drop(&mut self) {
        if self.is_writing() {
            std::mem::forget(self.pool.clone());
        }
    }
}

/// Makes a logger that counts the lines that find the queue full.
fn logger(sink: Arc<dyn Sink>, counts: Arc<Counts>) -> Result<Logger> {
    let count_dropped = move |_| {
        counts.dropped.fetch_add(1, Ordering::Relaxed);
        counts.ended.fetch_add(1, Ordering::Relaxed);
    };
    Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::All)
        .error_handler(count_dropped)
        .build()
        .map_err(Error::log)
}

/// Passes lines on and counts those that have been dealt with.
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
        self.counts.ended.fetch_add(1, Ordering::Relaxed);
        // A closed standard error is no reason to say so on it with every line.
        if result.is_err() {
            self.counts.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        self.inner.flush()
    }
}

fn level_of(level: LogLevel) -> Level {
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
