//! Lines and columns.

use std::fmt;

/// A place in a file, counted from 1; columns count characters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// The line.
    pub line: usize,
    /// The column.
    pub column: usize,
}

impl Place {
    /// Finds the place of a byte in a text.
    pub fn of_byte(text: &str, byte: usize) -> Self {
        let mut place = Place { line: 1, column: 1 };
        for (index, char) in text.char_indices() {
            if index >= byte {
                break;
            }
            match char {
                '\n' => {
                    place.line += 1;
                    place.column = 1;
                }
                _ => place.column += 1,
            }
        }
        place
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}
