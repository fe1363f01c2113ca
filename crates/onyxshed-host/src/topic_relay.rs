//! Follows the topics of the store through the owner of the home pool.
//!
//! The hosts of a zone share their owners, so each owner passes the records on to a number of hosts
//! that does not grow with the deployment.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use onyxshed_kernel::{Kernel, LocalFuture, Result, Service, ServiceName};

use crate::links::Links;
use crate::names::{LINKS, TOPIC_RELAY};
use crate::topic::Topics;

/// Pause before the owner of the home pool is asked again if it is unknown, does not answer or would
/// answer the same at once.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Service that follows the topics through the owner of the home pool.
pub struct TopicRelayService {
    topics: Rc<Topics>,
}

impl TopicRelayService {
    /// Creates the service, which passes the records to the readers of `topics`.
    pub fn new(topics: Rc<Topics>) -> Self {
        TopicRelayService { topics }
    }
}

impl Service for TopicRelayService {
    fn name(&self) -> ServiceName {
        TOPIC_RELAY
    }

    fn dependencies(&self) -> &[ServiceName] {
        &[LINKS]
    }

    fn start<'a>(&'a self, kernel: &'a Kernel) -> LocalFuture<'a, Result<()>> {
        Box::pin(async move {
            let links: Rc<Links> = kernel.find(LINKS)?;
            kernel.spawn(follow(links, self.topics.clone())).detach();
            Ok(())
        })
    }
}

/// What a call to the owner of the home pool has shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RelayAnswer {
    /// The owner is unknown or does not answer.
    Missing,
    /// The owner knows records that it does not pass on; they are being read from the store.
    Ahead,
    /// This host knows what the owner knows.
    Applied,
}

/// Follows the topics until the process ends.
async fn follow(links: Rc<Links>, topics: Rc<Topics>) {
    loop {
        let answer = follow_once(&links, &topics).await;
        topics.set_relayed(answer != RelayAnswer::Missing);
        if answer != RelayAnswer::Applied {
            Timer::after(RETRY_PAUSE).await;
        }
    }
}

/// Waits for one answer of the owner of the home pool and applies it.
async fn follow_once(links: &Links, topics: &Topics) -> RelayAnswer {
    let Some(link) = links.home_link() else {
        return RelayAnswer::Missing;
    };
    let wait = topics.confirmation_period();
    let Some(updates) = link.follow_topics(&topics.positions(), wait).await else {
        return RelayAnswer::Missing;
    };
    let mut answer = RelayAnswer::Applied;
    for (name, update) in updates {
        if !topics.apply_update(&name, update) {
            answer = RelayAnswer::Ahead;
        }
    }
    answer
}
