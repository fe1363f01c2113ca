//! Reports every second, on standard error, the activity that a command waits for.

use std::cell::RefCell;
use std::future::Future;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;

/// How often the activity is reported.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The activity that a command waits for, reported every second while the command runs.
#[derive(Debug)]
pub struct Progress {
    activity: RefCell<String>,
    report: fn(&str),
}

impl Progress {
    /// Creates a reporter to standard error with the first activity.
    pub fn new(activity: impl Into<String>) -> Self {
        Progress::with_reporter(activity, |activity| eprintln!("waiting: {activity}"))
    }

    /// Creates a reporter that passes the activity to `report`.
    pub fn with_reporter(activity: impl Into<String>, report: fn(&str)) -> Self {
        Progress {
            activity: RefCell::new(activity.into()),
            report,
        }
    }

    /// Sets the activity that the command waits for now.
    pub fn set(&self, activity: impl Into<String>) {
        *self.activity.borrow_mut() = activity.into();
    }

    /// Runs `work` and reports the activity every second until it ends.
    pub async fn during<T>(&self, work: impl Future<Output = T>) -> T {
        let reporting = async {
            loop {
                Timer::after(REPORT_INTERVAL).await;
                (self.report)(&self.activity.borrow());
            }
        };
        work.or(reporting).await
    }
}
