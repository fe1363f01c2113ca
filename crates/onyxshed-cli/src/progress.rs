//! Reports on standard error what a command waits for if it takes more than a second.

use std::cell::RefCell;
use std::future::Future;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;

/// How often the activity is reported.
const PERIOD: Duration = Duration::from_secs(1);

/// The activity that a command waits for, reported every second while the command runs.
#[derive(Debug)]
pub struct Progress {
    what: RefCell<String>,
    say: fn(&str),
}

impl Progress {
    /// Creates a reporter to standard error with the first activity.
    pub fn new(what: impl Into<String>) -> Self {
        Progress::saying_by(what, |what| eprintln!("waiting: {what}"))
    }

    /// Creates a reporter that passes the activity to `report`.
    pub fn saying_by(what: impl Into<String>, say: fn(&str)) -> Self {
        Progress {
            what: RefCell::new(what.into()),
            say,
        }
    }

    /// Sets the activity that the command waits for now.
    pub fn set(&self, what: impl Into<String>) {
        *self.what.borrow_mut() = what.into();
    }

    /// Runs `work` and reports the activity every second until it ends.
    pub async fn during<T>(&self, work: impl Future<Output = T>) -> T {
        let tell = async {
            loop {
                Timer::after(PERIOD).await;
                (self.say)(&self.what.borrow());
            }
        };
        work.or(tell).await
    }
}
