//! Checks and rewrites a message's head before the library parses it.
//!
//! The scan guards against three faults of the library: it panics on a header byte that is not
//! ASCII, which would end the process; it buffers a line without end for as long as bytes arrive;
//! and on `Expect: 100-continue` it writes from threads of its own, after or in the middle of the
//! reply. Every byte of a head is scanned here first: in the first two cases the scan returns an
//! error, which ends the connection, and the `Expect` header is renamed, so that only the server
//! answers it.

use std::io;

/// Largest head that is passed on to the library, in bytes; the library itself accepts half of
/// that.
pub const HEAD_MAX_BYTES: u64 = 16 << 10;

/// Name under which the server sees a request's `Expect` header.
pub const EXPECT_HEADER: &str = "expec_";

/// The original name of the header, whose last letter is replaced.
const EXPECT: &[u8] = b"expect";

/// The state of scanning one message's head.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HeadScan {
    /// Number of bytes of the head that have been received.
    head_bytes: u64,
    /// Number of bytes received after the head.
    bytes_after_head: u64,
    /// Number of bytes of the current line, without carriage returns.
    line_bytes: usize,
    /// Whether the bytes of the current line, of any case, match the start of [`EXPECT`].
    is_expect: bool,
    has_text: bool,
    is_complete: bool,
}

impl HeadScan {
    /// Returns how many bytes were received after the head.
    pub fn bytes_after_head(&self) -> u64 {
        self.bytes_after_head
    }

    /// Scans received bytes and renames an `Expect` header in place. Returns an error if the head
    /// is too large or not ASCII.
    pub fn scan(&mut self, bytes: &mut [u8]) -> io::Result<()> {
        if self.is_complete {
            self.bytes_after_head += bytes.len() as u64;
            return Ok(());
        }
        for byte in bytes {
            match self.is_complete {
                true => self.bytes_after_head += 1,
                false => self.scan_byte(byte)?,
            }
        }
        Ok(())
    }

    fn scan_byte(&mut self, byte: &mut u8) -> io::Result<()> {
        self.head_bytes += 1;
        if self.head_bytes > HEAD_MAX_BYTES {
            return Err(io::ErrorKind::FileTooLarge.into());
        }
        if !byte.is_ascii() {
            return Err(io::ErrorKind::InvalidData.into());
        }
        match *byte {
            b'\r' => {}
            b'\n' => self.end_line(),
            _ => self.scan_text(byte),
        }
        Ok(())
    }

    fn end_line(&mut self) {
        self.is_complete = self.has_text && self.line_bytes == 0;
        self.line_bytes = 0;
    }

    fn scan_text(&mut self, byte: &mut u8) {
        let index = self.line_bytes;
        let matches_expect = EXPECT.get(index) == Some(&byte.to_ascii_lowercase());
        self.is_expect = matches_expect && (index == 0 || self.is_expect);
        if self.is_expect && index + 1 == EXPECT.len() {
            *byte = b'_';
        }
        self.line_bytes += 1;
        self.has_text = true;
    }
}
