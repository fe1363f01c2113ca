//! Watches a message's head on its way to the library.
//!
//! Failures guarded against, each of them the library's: a byte that is not ASCII in a header makes
//! it panic, which would end the process; a line without end is kept in memory as long as it comes;
//! `Expect: 100-continue` makes it write from threads of its own, behind or amid the reply. Every
//! byte of a head passes here first: the first two end the connection, and the header is renamed, so
//! that only the server answers it.

use std::io;

/// Largest head that is passed on; the library takes half of it.
pub const HEAD_MAX_BYTES: u64 = 16 << 10;

/// Name under which a request's `Expect` header reaches the server.
pub const EXPECT_HEADER: &str = "expec_";

/// The header's own name, whose last letter is replaced.
const EXPECT: &[u8] = b"expect";

/// How far a message's head has come.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HeadScan {
    /// Bytes of the head so far.
    head_bytes: u64,
    /// Bytes that came behind the head.
    beyond_bytes: u64,
    /// Bytes of the current line, carriage returns left out.
    line_bytes: usize,
    /// Whether the line has begun like [`EXPECT`].
    is_expect: bool,
    has_text: bool,
    is_over: bool,
}

impl HeadScan {
    /// Gets how many bytes came behind the head.
    pub fn beyond_bytes(&self) -> u64 {
        self.beyond_bytes
    }

    /// Tries to pass bytes on, changing them where need be.
    pub fn pass(&mut self, bytes: &mut [u8]) -> io::Result<()> {
        if self.is_over {
            self.beyond_bytes += bytes.len() as u64;
            return Ok(());
        }
        for byte in bytes {
            match self.is_over {
                true => self.beyond_bytes += 1,
                false => self.pass_one(byte)?,
            }
        }
        Ok(())
    }

    fn pass_one(&mut self, byte: &mut u8) -> io::Result<()> {
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
            _ => self.pass_text(byte),
        }
        Ok(())
    }

    fn end_line(&mut self) {
        self.is_over = self.has_text && self.line_bytes == 0;
        self.line_bytes = 0;
    }

    fn pass_text(&mut self, byte: &mut u8) {
        let place = self.line_bytes;
        let is_expected = EXPECT.get(place) == Some(&byte.to_ascii_lowercase());
        self.is_expect = is_expected && (place == 0 || self.is_expect);
        if self.is_expect && place + 1 == EXPECT.len() {
            *byte = b'_';
        }
        self.line_bytes += 1;
        self.has_text = true;
    }
}
