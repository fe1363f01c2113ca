//! Clients that do not behave, in small crowds on real hosts whose machines have low limits.
//!
//! Each test checks what does not depend on the machine's speed: the process lives, its memory and its
//! descriptors stay within the limits in its settings, and an ordinary request is answered while the crowd
//! keeps its connections open.

mod costs;
mod crowd;
mod entries;
mod hosts;

use std::sync::Mutex;

/// Only one crowd at a time, since others would add to the load of the machine.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());
