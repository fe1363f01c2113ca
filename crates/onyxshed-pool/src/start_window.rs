//! The start orders that have no answer yet, of which a pool sends a limited number.

/// The start orders without an answer. Once as many as allowed have been sent, no more are until half of them
/// are answered; then tasks of all jobs are placed at once.
#[derive(Debug)]
pub(crate) struct StartWindow {
    max: usize,
    unanswered: usize,
    is_full: bool,
}

impl StartWindow {
    pub fn new(max: usize) -> Self {
        StartWindow {
            max,
            unanswered: 0,
            is_full: false,
        }
    }

    /// Returns whether another start order may be sent.
    pub fn is_open(&self) -> bool {
        !self.is_full
    }

    pub fn count_sent(&mut self) {
        self.unanswered += 1;
        self.is_full |= self.unanswered >= self.max;
    }

    /// Counts an answer, and returns whether orders may be sent again because of it.
    pub fn count_answered(&mut self) -> bool {
        self.unanswered = self.unanswered.saturating_sub(1);
        let has_opened = self.is_full && self.unanswered <= self.max / 2;
        self.is_full &= !has_opened;
        has_opened
    }
}
