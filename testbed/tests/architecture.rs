//! Checks that all modules, types and functions named in docs/architecture.md exist.

use std::path::{Path, PathBuf};

const CRATES: [&str; 9] = [
    "config",
    "cluster",
    "store",
    "registry",
    "proxy",
    "client",
    "config-check",
    "testbed",
    "platform",
];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

/// The paths in backticks that begin with the name of a crate of this repository.
fn named_paths(page: &str) -> Vec<Vec<&str>> {
    let spans = page.split('`').skip(1).step_by(2);
    spans
        .map(|span| span.split("::").collect::<Vec<&str>>())
        .filter(|path| path.len() > 1 && CRATES.contains(&path[0]))
        .collect()
}

/// The source files of a module: its own file and, if it has a directory, all files in that.
fn source_files(module: &Path) -> Vec<PathBuf> {
    let mut files = vec![module.with_extension("rs")];
    let mut directories = vec![module.to_path_buf()];
    while let Some(directory) = directories.pop() {
        let Ok(entries) = std::fs::read_dir(&directory) else { continue };
        for entry in entries {
            let path = entry.unwrap().path();
            if path.is_dir() {
                directories.push(path);
            } else {
                files.push(path);
            }
        }
    }
    files.retain(|path| path.extension().is_some_and(|extension| extension == "rs"));
    files.retain(|path| path.exists());
    files
}

/// Whether a source file defines a function or type with this name.
fn defines(source: &str, name: &str) -> bool {
    ["fn", "struct", "enum", "trait", "type"].iter().any(|kind| {
        let start = format!("{kind} {name}");
        source.match_indices(&start).any(|(at, _)| {
            let next = source[at + start.len()..].chars().next();
            next.is_none_or(|next| !next.is_alphanumeric() && next != '_')
        })
    })
}

#[test]
fn items_named_on_the_architecture_page_exist() {
    let page = std::fs::read_to_string(root().join("docs/architecture.md")).unwrap();
    let paths = named_paths(&page);
    assert!(paths.len() > 40, "only {} paths were found on the page", paths.len());
    for path in paths {
        let mut module = root().join(path[0]).join("src");
        let mut rest = &path[1..];
        while let Some((segment, remaining)) = rest.split_first() {
            let child = module.join(segment);
            if !child.is_dir() && !child.with_extension("rs").exists() {
                break;
            }
            module = child;
            rest = remaining;
        }
        for name in rest {
            let is_defined = source_files(&module)
                .iter()
                .any(|source| defines(&std::fs::read_to_string(source).unwrap(), name));
            assert!(is_defined, "{}: '{name}' is not defined", path.join("::"));
        }
    }
}
