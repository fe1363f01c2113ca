//! Checks that crates, links, tests and settings that the pages mention exist and are valid.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;

use onyxshed_proof::process::find_binary;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns the names of the entries of a folder.
fn names(folder: &Path) -> Vec<String> {
    let entries = fs::read_dir(folder).expect("the folder can be read");
    let entries = entries.map(|entry| entry.expect("the folder entry can be read").file_name());
    entries
        .map(|name| name.to_string_lossy().into_owned())
        .collect()
}

fn read(path: &Path) -> String {
    fs::read_to_string(path).expect("the page can be read")
}

#[test]
fn readme_names_every_crate() {
    let readme = read(&root().join("README.md"));
    for name in names(&root().join("crates")) {
        assert!(readme.contains(&format!("`crates/{name}`")), "{name}");
    }
}

#[test]
fn links_of_all_pages_have_existing_targets() {
    let docs = root().join("docs");
    let pages = names(&docs)
        .into_iter()
        .filter(|name| name.ends_with(".md"));
    let mut pages: Vec<PathBuf> = pages.map(|name| docs.join(name)).collect();
    pages.push(root().join("README.md"));
    for page in pages {
        let text = read(&page);
        let links = text
            .split("](")
            .skip(1)
            .filter_map(|rest| rest.split(')').next());
        for link in links.filter(|link| !link.contains("://") && !link.starts_with('#')) {
            let path = link.split('#').next().unwrap_or_default();
            let target = page.with_file_name(path);
            assert!(target.exists(), "{}: {link}", page.display());
        }
    }
}

#[test]
fn tests_and_scenarios_that_the_readme_names_exist() {
    let readme = read(&root().join("README.md"));
    let scenarios = names(&root().join("crates/onyxshed-proof/scenarios"));
    let table = readme
        .split("## What backs")
        .nth(1)
        .expect("README contains the table of claims");
    let table = table
        .split("## Read on")
        .next()
        .expect("README contains the table of claims");
    for word in table.split('`').skip(1).step_by(2) {
        let is_scenario = scenarios.iter().any(|name| match word.strip_suffix('*') {
            Some(start) => name.starts_with(start),
            None => name.strip_suffix(".scenario") == Some(word),
        });
        let test_path = root().join("crates/onyxshed-proof/tests").join(word);
        let is_file = root().join("crates").join(word).exists() || test_path.exists();
        assert!(is_scenario || is_file, "{word}");
    }
}

#[test]
fn settings_on_the_operators_page_are_valid() {
    let page = read(&root().join("docs/OPERATING.md"));
    let folder = tempfile::tempdir().unwrap();
    let blocks = page.split("```jsonc\n").skip(1);
    let mut checked = 0;
    for (block, kind) in blocks.zip(["entry", "control", "operator"]) {
        let file = folder.path().join(kind);
        fs::write(&file, block.split("```").next().unwrap()).unwrap();
        let mut check = Command::new(find_binary("onyxshed").unwrap());
        let output = check
            .arg("check")
            .arg(&file)
            .args(["--kind", kind])
            .output()
            .unwrap();
        assert!(output.status.success(), "{output:?}");
        checked += 1;
    }
    assert_eq!(checked, 3);
}
