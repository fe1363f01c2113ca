//! Builds the tests anew when a scenario comes or goes: their list is made when they are compiled.

fn main() {
    println!("cargo::rerun-if-changed=scenarios");
}
