//! Checks that the modules of the library form layers: no module imports, directly or through
//! others, a module that imports it.

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
        let name =
            path.file_stem().and_then(|stem| stem.to_str()).expect("the file has a module's name");
        let text = fs::read_to_string(&path).expect("the source can be read");
        let used = text.lines().filter_map(|line| line.strip_prefix("use crate::"));
        let used = used.map(|rest| rest.split([':', ';']).next().unwrap_or_default().to_owned());
        imports.insert(name.to_owned(), used.collect());
    }
    imports
}

#[test]
fn modules_have_no_import_cycles() {
    let mut remaining = imports();
    assert!(remaining.len() > 40, "too few sources were found");
    // Removes the modules that import none of the remaining ones, until only cycles and the modules
    // that depend on them are left.
    loop {
        let names: BTreeSet<String> = remaining.keys().cloned().collect();
        let count_before = remaining.len();
        remaining.retain(|_, used| used.iter().any(|name| names.contains(name)));
        if remaining.len() == count_before {
            break;
        }
    }
    assert!(
        remaining.is_empty(),
        "modules in import cycles, or that import such modules: {:?}",
        remaining.keys()
    );
}
