//! Modules stand in layers: what is used stands below what uses it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

type Imports = BTreeMap<String, BTreeSet<String>>;

fn imports() -> Imports {
    let src = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut imports = Imports::new();
    for entry in fs::read_dir(src).expect("the sources can be read") {
        let path = entry.expect("the sources can be read").path();
        let name = path.file_stem().and_then(|stem| stem.to_str()).expect("a module's name");
        let text = fs::read_to_string(&path).expect("the source can be read");
        let used = text.lines().filter_map(|line| line.strip_prefix("use crate::"));
        let used = used.map(|rest| rest.split([':', ';']).next().unwrap_or_default().to_owned());
        imports.insert(name.to_owned(), used.collect());
    }
    imports
}

#[test]
fn no_modules_import_each_other_in_a_circle() {
    let mut left = imports();
    assert!(left.len() > 40, "the sources were found");
    // Takes away the modules of which all imports are gone, until none is left but circles.
    loop {
        let names: BTreeSet<String> = left.keys().cloned().collect();
        let before = left.len();
        left.retain(|_, used| used.iter().any(|name| names.contains(name)));
        if left.len() == before {
            break;
        }
    }
    assert!(left.is_empty(), "in circles, or above them: {:?}", left.keys());
}
