//! Writes docs/SETTINGS.md to standard output.

fn main() {
    print!("{}", onyxshed_settings::page::page());
}
