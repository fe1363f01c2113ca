//! Rebuilds the tests when a scenario file is added or removed, because the list of scenarios is read at
//! compile time.

fn main() {
    println!("cargo::rerun-if-changed=scenarios");
}
