//! Progress of whatever takes more than a second, on standard error.

use std::cell::RefCell;
use std::future::Future;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;

/// How often is said what is being waited for.
const PERIOD: Duration = Duration::from_secs(1);

/// What is being waited for, said every second while the work lasts.
#[derive(Debug)]
pub struct Progress {
    what: RefCell<String>,
    say: fn(&str),
}

impl Progress {
    /// Starts with what is waited for first.
    pub fn new(what: impl Into<String>) -> Self {
        Progress::saying_by(what, |what| eprintln!("waiting: {what}"))
    }

    /// Starts with another way to say it.
    pub fn saying_by(what: impl Into<String>, say: fn(&str)) -> Self {
        Progress {
            what: RefCell::new(what.into()),
            say,
        }
    }

    /// Sets what is being waited for now.
    pub fn set(&self, what: impl Into<String>) {
        *self.what.borrow_mut() = what.into();
    }

    /// Does the work, and says every second what it waits for.
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
