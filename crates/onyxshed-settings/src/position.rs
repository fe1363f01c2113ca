//! Line and column positions in a text.

use std::fmt;

/// A position in a file. Lines and columns count from 1; columns count characters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// The line, from 1.
    pub line: usize,
    /// The column, from 1.
    pub column: usize,
}

impl Position {
    /// Returns the position of a byte offset in a text.
    pub fn of_byte(text: &str, byte: usize) -> Self {
        let mut position = Position { line: 1, column: 1 };
        for (index, char) in text.char_indices() {
            if index >= byte {
                break;
            }
            match char {
                '\n' => {
                    position.line += 1;
                    position.column = 1;
                }
                _ => position.column += 1,
            }
        }
        position
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}
